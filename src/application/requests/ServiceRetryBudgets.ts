import RetryBudget from '../../domain/requests/RetryBudget.ts';
import type RetryBudgetSource from './RetryBudgetSource.ts';

/** One budget for each service, kept for the life of the process. */
export default class ServiceRetryBudgets implements RetryBudgetSource {
  private readonly budgets = new Map<string, RetryBudget>();

  getBudget(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known) return known;
    const budget = new RetryBudget();
    this.budgets.set(service, budget);
    return budget;
  }
}
