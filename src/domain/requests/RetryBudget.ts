import type RetryAllowance from './RetryAllowance.ts';

// Lets a service with little traffic retry at all, and bounds the burst after a quiet time.
const maxTokens = 10;

/** Bounds the retries of a service on one host to a share of its original requests. */
export default class RetryBudget implements RetryAllowance {
  private tokens = maxTokens;

  addRequest(retryShare: number): void {
    this.tokens = Math.min(maxTokens, this.tokens + retryShare);
  }

  hasRetry(): boolean {
    return this.tokens >= 1;
  }

  readScarcity(): number {
    return this.hasRetry() ? 1 - this.tokens / maxTokens : 1;
  }

  takeRetry(): boolean {
    if (!this.hasRetry()) return false;
    this.tokens -= 1;
    return true;
  }
}
