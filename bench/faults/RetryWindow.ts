import SlidingCounts from '../../src/domain/metrics/SlidingCounts.ts';

const slotMs = 500;

/** Requests and retries of one service in the newest window. */
export interface RetryCounts {
  readonly requests: number;
  readonly retries: number;
}

/** Counts the requests and the retries of one service over a sliding window. */
export default class RetryWindow {
  private readonly windowMs: number;

  private readonly counts: SlidingCounts;

  constructor(options: { readonly windowMs: number }) {
    this.windowMs = options.windowMs;
    this.counts = new SlidingCounts({ slotMs, slots: Math.ceil(options.windowMs / slotMs) + 1 });
  }

  addRequest(now: number): void {
    this.counts.addRequest(true, now);
  }

  addRetry(now: number): void {
    this.counts.addRequest(false, now);
  }

  readCounts(now: number): RetryCounts {
    const { good, bad } = this.counts.countRequests(this.windowMs, now);
    return { requests: good, retries: bad };
  }
}
