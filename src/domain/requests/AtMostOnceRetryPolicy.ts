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

  async takeRetry(result: AttemptResult): Promise<boolean> {
    if (!this.isRetryable(result)) return false;
    // A request that no upstream received added no load, so its retry takes nothing from the
    // budget.
    return result === 'not_sent' || this.budget.takeRetry();
  }

  /** Returns `Infinity`: a second upstream could run the operation again. */
  computeHedgeTime(): number {
    return Infinity;
  }
}
