import type RetryAllowance from './RetryAllowance.ts';

// Capacity of the token bucket: allows retries for a service with little traffic, and bounds the
// burst after a period without retries.
const maxTokens = 10;

/** Token bucket that limits a service's retries on one host to a share of its original requests. */
export default class RetryBudget implements RetryAllowance {
  private tokens = maxTokens;

  addRequest(retryShare: number): void {
    this.tokens = Math.min(maxTokens, this.tokens + retryShare);
  }

  readScarcity(): number {
    return this.tokens >= 1 ? 1 - this.tokens / maxTokens : 1;
  }

  async takeRetry(): Promise<number | undefined> {
    return this.takeToken() ? Infinity : undefined;
  }

  /** Takes one retry; returns false when none is allowed. */
  takeToken(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
