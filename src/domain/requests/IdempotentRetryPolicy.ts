import type RetryAllowance from './RetryAllowance.ts';
import type RetryPolicy from './RetryPolicy.ts';
import type { AttemptTimes } from './RetryPolicy.ts';
import type { AttemptResult } from './AttemptResult.ts';

/** For operations that may repeat: another try after any fault while the service's budget lasts. */
export default class IdempotentRetryPolicy implements RetryPolicy {
  private readonly budget: RetryAllowance;

  constructor(budget: RetryAllowance) {
    this.budget = budget;
  }

  isRetryable(end: AttemptResult): boolean {
    return end !== 'good_answer' && end !== 'given_up';
  }

  readScarcity(): number {
    return this.budget.readScarcity();
  }

  mayRetry(end: AttemptResult): boolean {
    if (!this.isRetryable(end)) return false;
    // A request that no upstream received adds nothing to the load of the service.
    return end === 'not_sent' || this.budget.takeRetry();
  }

  /**
   * Half of the time that is left, so that the next upstream has as much time as this one had. A
   * silent upstream would otherwise use up the whole deadline. Without a retry to spend, the
   * attempt keeps the whole deadline.
   */
  computeAttemptDeadline({ now, deadline, hasAlternative }: AttemptTimes): number {
    if (!hasAlternative || !this.budget.hasRetry()) return deadline;
    return now + (deadline - now) / 2;
  }
}
