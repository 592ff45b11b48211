// Lets a service with little traffic retry at all, and bounds the burst after a quiet time.
const mostTokens = 10;

/** Bounds the retries of a service to a share of its original requests. */
export default class RetryBudget {
  private tokens = mostTokens;

  /** Adds the share of a retry that one original request pays for. */
  addRequest(retryShare: number): void {
    this.tokens = Math.min(mostTokens, this.tokens + retryShare);
  }

  /** Whether a retry would be allowed now. */
  hasRetry(): boolean {
    return this.tokens >= 1;
  }

  /** Takes the token of one retry; false when the budget is spent. */
  takeRetry(): boolean {
    if (!this.hasRetry()) return false;
    this.tokens -= 1;
    return true;
  }
}
