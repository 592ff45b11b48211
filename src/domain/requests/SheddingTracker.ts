// Long enough to span the answers of several upstreams, short enough to retry soon after a peak.
const recentMs = 1000;

/** Remembers which upstreams of one service shed load recently. */
export default class SheddingTracker {
  private readonly shedAt = new Map<string, number>();

  /** Takes an answer; one that was served ends the shedding of its upstream. */
  recordAnswer(upstream: string, isShed: boolean, now: number): void {
    if (isShed) this.shedAt.set(upstream, now);
    else this.shedAt.delete(upstream);
  }

  /** True when each of the upstreams shed load recently; a retry would then only add load. */
  isServiceShedding(upstreams: readonly string[], now: number): boolean {
    this.pruneRecords(now);
    return upstreams.length > 0 && upstreams.every((upstream) => this.shedAt.has(upstream));
  }

  private pruneRecords(now: number): void {
    [...this.shedAt]
      .filter(([, at]) => now - at > recentMs)
      .forEach(([upstream]) => this.shedAt.delete(upstream));
  }
}
