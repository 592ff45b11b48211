import type { RequestCounts } from './BurnWindow.ts';

/** Counts good and bad requests in a ring buffer of time slots. */
export default class SlidingCounts {
  private readonly slotMs: number;

  private readonly slotNumbers: Float64Array;

  private readonly good: Float64Array;

  private readonly bad: Float64Array;

  constructor(options: { readonly slotMs: number; readonly slots: number }) {
    this.slotMs = options.slotMs;
    this.slotNumbers = new Float64Array(options.slots).fill(-1);
    this.good = new Float64Array(options.slots);
    this.bad = new Float64Array(options.slots);
  }

  addRequest(isGood: boolean, now: number): void {
    const slotNumber = Math.floor(now / this.slotMs);
    const index = slotNumber % this.slotNumbers.length;
    if (this.slotNumbers[index] !== slotNumber) {
      this.slotNumbers[index] = slotNumber;
      this.good[index] = 0;
      this.bad[index] = 0;
    }
    const counts = isGood ? this.good : this.bad;
    counts[index] = (counts[index] ?? 0) + 1;
  }

  /** Counts of the slots that began within the window, the current one included. */
  countRequests(windowMs: number, now: number): RequestCounts {
    const newest = Math.floor(now / this.slotMs);
    const oldest = newest - Math.ceil(windowMs / this.slotMs) + 1;
    const isInWindow = (_: number, index: number): boolean => {
      const slotNumber = this.slotNumbers[index] ?? -1;
      return slotNumber >= oldest && slotNumber <= newest;
    };
    const sum = (counts: Float64Array): number =>
      counts.filter(isInWindow).reduce((total, count) => total + count, 0);
    return { good: sum(this.good), bad: sum(this.bad) };
  }
}
