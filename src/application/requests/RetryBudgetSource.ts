import type RequestRank from '../../domain/admission/RequestRank.ts';
import type RetryAllowance from '../../domain/requests/RetryAllowance.ts';

/** Provides the retry budget of each service. */
export default interface RetryBudgetSource {
  /**
   * The budget of a service for the retries of one request; a request without a rank competes with
   * no others.
   */
  getBudget(service: string, requestId: string, rank?: RequestRank): RetryAllowance;
}
