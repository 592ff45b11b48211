import type RetryAllowance from '../../domain/requests/RetryAllowance.ts';

/** The retries of each service. */
export default interface RetryBudgetSource {
  getBudget(service: string): RetryAllowance;
}
