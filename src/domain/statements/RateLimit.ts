/** Options of a rate limit. */
export interface RateLimitOptions {
  readonly unitsPerSecond: number;
  /** Units that may be taken at once after a pause, as the time in which they are earned. */
  readonly burstMs: number;
}

/** Limits the units that are taken over time, by the generic cell rate algorithm. */
export default class RateLimit {
  private readonly burstMs: number;

  private unitsPerSecond: number;

  /** Instant at which all units that were taken have been earned. */
  private earnedAt = -Infinity;

  constructor(options: RateLimitOptions) {
    this.burstMs = options.burstMs;
    this.unitsPerSecond = options.unitsPerSecond;
  }

  /** Instant from which the next unit may be taken. */
  get freeAt(): number {
    return this.earnedAt - this.burstMs;
  }

  /** Sets the rate for units that are taken from now on. */
  setRate(unitsPerSecond: number): void {
    this.unitsPerSecond = unitsPerSecond;
  }

  /** Takes units, also when none are free; `freeAt` is then later. */
  takeUnits(units: number, now: number): void {
    const earnedMs = (1000 * units) / this.unitsPerSecond;
    this.earnedAt = Math.max(this.earnedAt, now) + earnedMs;
  }
}
