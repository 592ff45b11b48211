/** Decides how many retries a service may have. */
export default interface RetryAllowance {
  /** Adds one original request, and the retries it pays for. */
  addRequest(retryShare: number): void;
  /** Whether a retry would be allowed now. */
  hasRetry(): boolean;
  /** Takes one retry; false when none is allowed. */
  takeRetry(): boolean;
}
