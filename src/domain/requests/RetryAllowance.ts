/** Limits the retries of a service. */
export default interface RetryAllowance {
  /** Counts one original request, which adds its share of a retry to the budget. */
  addRequest(retryShare: number): void;
  /** Whether a retry would be allowed now. */
  hasRetry(): boolean;
  /** Scarcity of retries: 0 while none of the allowed ones is taken, 1 when none remains. */
  readScarcity(): number;
  /** Takes one retry from the budget; returns false when none is allowed. */
  takeRetry(): boolean;
}
