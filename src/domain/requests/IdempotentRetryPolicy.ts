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

  mayRetry(result: AttemptResult): boolean {
    if (!this.isRetryable(result)) return false;
    // A request that no upstream received added no load, so its retry takes nothing from the
    // budget.
    return result === 'not_sent' || this.budget.takeRetry();
  }

  /**
   * Returns half of the remaining time, so that the next upstream has as much time as this one;
   * otherwise an upstream that never answers would use up the whole deadline.
   */
  computeGiveUpTime({ now, deadline, hasAlternative }: AttemptTimes): number {
    return hasAlternative ? now + (deadline - now) / 2 : deadline;
  }
}
