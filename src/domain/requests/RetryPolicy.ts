import type { RetryUse } from '../admission/RetryRank.ts';
import type { AttemptResult } from './AttemptResult.ts';

/** Inputs of the hedge time of an attempt. */
export interface AttemptTimes {
  readonly now: number;
  /** Deadline of the whole request. */
  readonly deadline: number;
  /** Instant after which few answers are still to come. */
  readonly overdueAt: number;
}

/** Decides whether an attempt that failed or is overdue may be followed by another one. */
export default interface RetryPolicy {
  /** Whether a result permits a retry at all; takes nothing from the budget. */
  isRetryable(result: AttemptResult): boolean;
  /**
   * Scarcity of retries for an attempt that fails after it was sent: from 0, while all are
   * available, to 1, when none is allowed.
   */
  readScarcity(): number;
  /**
   * Takes a retry of an attempt with this result from the retry budget; resolves with the instant
   * until which it may be sent, or undefined when none is allowed.
   */
  takeRetry(result: AttemptResult, use: RetryUse): Promise<number | undefined>;
  /**
   * Instant from which the request may be sent to a second upstream too if the attempt has no
   * answer by then; `Infinity` for never.
   */
  computeHedgeTime(times: AttemptTimes): number;
}
