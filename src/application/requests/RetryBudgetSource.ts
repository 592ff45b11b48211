import type RetryBudget from '../../domain/requests/RetryBudget.ts';

/** The retry budget of each service. */
export default interface RetryBudgetSource {
  getBudget(service: string): RetryBudget;
}
