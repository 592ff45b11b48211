import pruneMap from '../collections/pruneMap.ts';

// Long enough to cover answers of several upstreams, short enough to allow retries soon after a
// peak of load.
const recentMs = 1000;

/** Tracks which upstreams of one service lately shed load for want of slots. */
export default class SheddingTracker {
  private readonly shedAt = new Map<string, number>();

  /**
   * Records whether an upstream shed a request because it was full; any other answer, also a
   * refusal with free slots, clears its state.
   */
  recordAnswer(upstream: string, isFull: boolean, now: number): void {
    if (isFull) this.shedAt.set(upstream, now);
    else this.shedAt.delete(upstream);
  }

  /** Whether all of the upstreams were full recently; a retry would then only add load. */
  isServiceFull(upstreams: readonly string[], now: number): boolean {
    this.pruneRecords(now);
    return upstreams.length > 0 && upstreams.every((upstream) => this.shedAt.has(upstream));
  }

  private pruneRecords(now: number): void {
    pruneMap(this.shedAt, (shedAt) => now - shedAt > recentMs);
  }
}
