import type { RetryUse } from '../admission/RetryRank.ts';
import type RetryAllowance from './RetryAllowance.ts';
import type RetryPolicy from './RetryPolicy.ts';
import type { AttemptResult } from './AttemptResult.ts';

/**
 * For operations that must run at most once: retries only after attempts that did not run the
 * operation.
 */
export default class AtMostOnceRetryPolicy implements RetryPolicy {
  private readonly budget: RetryAllowance;

  constructor(budget: RetryAllowance) {
    this.budget = budget;
  }

  isRetryable(result: AttemptResult): boolean {
    return result === 'not_sent' || result === 'not_run';
  }

  readScarcity(): number {
    return 1;
  }

  async takeRetry(result: AttemptResult, use: RetryUse): Promise<number | undefined> {
    return this.isRetryable(result) ? this.budget.takeRetry(use) : undefined;
  }

  /** Returns `Infinity`: a second upstream could run the operation again. */
  computeHedgeTime(): number {
    return Infinity;
  }
}
