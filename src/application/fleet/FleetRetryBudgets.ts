import RetryBudget from '../../domain/requests/RetryBudget.ts';
import type RetryBudgetSource from '../requests/RetryBudgetSource.ts';

/** Keeps the retries of all entry hosts together within the bound of each service. */
export default class FleetRetryBudgets implements RetryBudgetSource {
  private readonly budgets = new Map<string, RetryBudget>();

  private readonly extra: number;

  private readonly countEntryHosts: () => number;

  constructor(options: {
    /** Retries beyond the share of a service in any window, summed over all entry hosts. */
    readonly extra: number;
    readonly countEntryHosts: () => number;
  }) {
    this.extra = options.extra;
    this.countEntryHosts = options.countEntryHosts;
  }

  getBudget(service: string): RetryBudget {
    const known = this.budgets.get(service) ?? new RetryBudget({ mostTokens: 1 });
    this.budgets.set(service, known);
    known.setMostTokens(Math.max(1, this.extra / Math.max(1, this.countEntryHosts())));
    return known;
  }
}
