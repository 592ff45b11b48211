/** Decides how many retries a service may have. */
export default interface RetryAllowance {
  /** Adds one original request, and the retries it pays for. */
  addRequest(retryShare: number): void;
  /** Whether a retry would be allowed now. */
  hasRetry(): boolean;
  /** How scarce retries are: 0 while none of those allowed is taken, 1 when none is left. */
  readScarcity(): number;
  /** Takes one retry; false when none is allowed. */
  takeRetry(): boolean;
}
