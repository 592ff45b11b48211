import type { AttemptResult } from './AttemptResult.ts';

/** Inputs of the instant at which an attempt may give up. */
export interface AttemptTimes {
  readonly now: number;
  /** Deadline of the whole request. */
  readonly deadline: number;
  /** Whether another upstream may be tried after this attempt. */
  readonly hasAlternative: boolean;
}

/** Decides whether a failed attempt may be retried, and when an attempt may give up. */
export default interface RetryPolicy {
  /** Whether a result permits a retry at all; takes nothing from the budget. */
  isRetryable(result: AttemptResult): boolean;
  /**
   * Scarcity of retries for an attempt that fails after it was sent: from 0, while all are
   * available, to 1, when none is allowed.
   */
  readScarcity(): number;
  /**
   * Whether an attempt with this result may be retried now; if so, takes the retry from the retry
   * budget, unless the failed attempt was not sent.
   */
  mayRetry(result: AttemptResult): boolean;
  /**
   * Instant at which an attempt without an answer gives up if a retry is available then; the
   * deadline if it must wait.
   */
  computeGiveUpTime(times: AttemptTimes): number;
}
