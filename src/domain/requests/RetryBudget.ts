// Lets a service with little traffic retry at all, and bounds the burst after a quiet time.
const defaultMostTokens = 10;

/** Bounds the retries of a service to a share of its original requests. */
export default class RetryBudget {
  private mostTokens: number;

  private tokens: number;

  /** `mostTokens`: retries that a host may make at once, 10 unless set. */
  constructor({ mostTokens = defaultMostTokens }: { readonly mostTokens?: number } = {}) {
    this.mostTokens = mostTokens;
    this.tokens = mostTokens;
  }

  /** Adds the share of a retry that one original request pays for. */
  addRequest(retryShare: number): void {
    this.tokens = Math.min(this.mostTokens, this.tokens + retryShare);
  }

  /** Changes the number of retries that may be made at once. */
  setMostTokens(mostTokens: number): void {
    this.mostTokens = mostTokens;
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
