/** Counts recent events: the weight of each decays exponentially. */
export default class DecayingCount {
  private readonly decayMs: number;

  private count = 0;

  private countedAt = 0;

  /** The weight of an event decays to 1/e within `decayMs`. */
  constructor(options: { readonly decayMs: number }) {
    this.decayMs = options.decayMs;
  }

  addEvent(now: number): void {
    this.count = this.readCount(now) + 1;
    this.countedAt = now;
  }

  /** Weighted number of events. */
  readCount(now: number): number {
    return this.count * Math.exp(-Math.max(0, now - this.countedAt) / this.decayMs);
  }
}
