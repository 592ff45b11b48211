import type { AttemptResult } from './AttemptResult.ts';

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
  isRetryable(end: AttemptResult): boolean;
  /**
   * How scarce the attempts are that may follow one that fails after it was sent: from 0 to 1, when
   * none may follow.
   */
  readScarcity(): number;
  /** True when another attempt may follow; takes its share of the retry budget. */
  mayRetry(end: AttemptResult): boolean;
  /** Instant at which an attempt ends without an answer. */
  computeAttemptDeadline(times: AttemptTimes): number;
}
