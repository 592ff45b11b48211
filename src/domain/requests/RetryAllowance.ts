import type { RetryUse } from '../admission/RetryRank.ts';

/** Limits the retries of a service. */
export default interface RetryAllowance {
  /** Counts one original request, which adds its share of a retry to the budget. */
  addRequest(retryShare: number): void;
  /** Scarcity of retries: 0 while none of the allowed ones is taken, 1 when none remains. */
  readScarcity(): number;
  /**
   * Takes one retry for this use from the budget; resolves with the instant until which it may be
   * sent, or undefined when none is allowed.
   */
  takeRetry(use: RetryUse): Promise<number | undefined>;
}
