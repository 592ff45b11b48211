/** Result of an attempt at an upstream, as evidence of the upstream's health. */
export type AnswerClass =
  | 'good'
  /** A complete answer that reports a fault. */
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

/** One finished attempt at one upstream. */
export default interface AttemptObservation {
  readonly service: string;
  readonly upstream: string;
  readonly answerClass: AnswerClass;
  readonly startedAt: number;
  readonly endedAt: number;
  /** Size of the answer's body in bytes; 0 without an answer. */
  readonly answerBytes: number;
  /** Number of used slots that the answer reported; undefined when it reported none. */
  readonly reportedLoad: number | undefined;
}
