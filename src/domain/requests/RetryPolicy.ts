import type { UpstreamEnd } from './UpstreamEnd.ts';

/** What an attempt's deadline depends on. */
export interface AttemptTimes {
  readonly now: number;
  /** Deadline of the whole request. */
  readonly deadline: number;
  /** Whether another upstream could still answer after this attempt. */
  readonly hasAlternative: boolean;
}

/** Decides whether and when a request may be sent to another upstream. */
export default interface RetryPolicy {
  /** Whether another attempt may ever follow such an end; takes nothing from the budget. */
  isRetryable(end: UpstreamEnd): boolean;
  /** Whether an attempt that fails after it was sent could be followed by another one now. */
  hasRepeat(): boolean;
  /** True when another attempt may follow; takes its share of the retry budget. */
  mayRetry(end: UpstreamEnd): boolean;
  /** Instant at which an attempt ends without an answer. */
  computeAttemptDeadline(times: AttemptTimes): number;
}
