import type RetryAllowance from '../../domain/requests/RetryAllowance.ts';

/** Provides the retry budget of each service. */
export default interface RetryBudgetSource {
  /** The budget of a service for the retries of one request. */
  getBudget(service: string, requestId: string): RetryAllowance;
}
