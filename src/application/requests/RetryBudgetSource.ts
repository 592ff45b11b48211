import type RetryAllowance from '../../domain/requests/RetryAllowance.ts';

/** Provides the retry budget of each service. */
export default interface RetryBudgetSource {
  getBudget(service: string): RetryAllowance;
}
