/** How a request to an upstream ended, as evidence of the upstream's health. */
export type AnswerClass =
  | 'good'
  /** A whole answer that reports a fault. */
  | 'failed'
  | 'reset'
  | 'truncated'
  | 'mismatched'
  | 'timed_out'
  | 'unreachable'
  | 'shed'
  /** The address belongs to another upstream now. */
  | 'misplaced'
  | 'cancelled';

/** One finished request to one upstream. */
export default interface AttemptObservation {
  readonly service: string;
  readonly upstream: string;
  readonly answerClass: AnswerClass;
  readonly startedAt: number;
  readonly endedAt: number;
  /** Size of the body; 0 without an answer. */
  readonly answerBytes: number;
  /** Slots in use that the answer reported, when it did. */
  readonly reportedLoad: number | undefined;
}
