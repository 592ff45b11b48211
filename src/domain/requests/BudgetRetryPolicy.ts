import type RetryBudget from './RetryBudget.ts';
import type RetryPolicy from './RetryPolicy.ts';
import type { UpstreamEnd } from './UpstreamEnd.ts';

/** For operations that may repeat: another try after any fault while the service's budget lasts. */
export default class BudgetRetryPolicy implements RetryPolicy {
  private readonly budget: RetryBudget;

  constructor(budget: RetryBudget) {
    this.budget = budget;
  }

  mayRetry(end: UpstreamEnd): boolean {
    if (end === 'good_answer' || end === 'given_up') return false;
    return this.budget.takeRetry();
  }
}
