import type { RetryUse } from '../admission/RetryRank.ts';
import type RetryAllowance from './RetryAllowance.ts';
import type RetryPolicy from './RetryPolicy.ts';
import type { AttemptTimes } from './RetryPolicy.ts';
import type { AttemptResult } from './AttemptResult.ts';

/** For idempotent operations: retries after any fault while the service's retry budget lasts. */
export default class IdempotentRetryPolicy implements RetryPolicy {
  private readonly budget: RetryAllowance;

  constructor(budget: RetryAllowance) {
    this.budget = budget;
  }

  isRetryable(result: AttemptResult): boolean {
    return result !== 'good_answer' && result !== 'given_up';
  }

  readScarcity(): number {
    return this.budget.readScarcity();
  }

  async takeRetry(result: AttemptResult, use: RetryUse): Promise<number | undefined> {
    return this.isRetryable(result) ? this.budget.takeRetry(use) : undefined;
  }

  /**
   * Returns the instant at which the attempt is overdue, but at the latest half of the remaining
   * time, so that the second upstream has as much time as the first one had.
   */
  computeHedgeTime({ now, deadline, overdueAt }: AttemptTimes): number {
    return Math.min(overdueAt, now + (deadline - now) / 2);
  }
}
