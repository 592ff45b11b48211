import RetryBudget from '../../domain/requests/RetryBudget.ts';
import type RetryBudgetSource from './RetryBudgetSource.ts';

/** Creates one retry budget for each service and keeps it for the lifetime of the process. */
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
