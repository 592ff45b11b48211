import type UpstreamRecord from '../../domain/membership/UpstreamRecord.ts';
import type UsableUpstream from '../../domain/requests/UsableUpstream.ts';

// A cold upstream works at about half of its full speed.
const coldWeight = 0.5;

/** An upstream and when it reaches its full speed. */
export interface WarmingUpstream {
  readonly record: UpstreamRecord;
  /** Instant after which the upstream is no longer cold. */
  readonly warmAt: number;
}

/** The serving upstreams of one service. Each choice lists them, so the list is kept. */
export default class ServicePool {
  private readonly upstreams = new Map<string, WarmingUpstream>();

  private usable: readonly UsableUpstream[] | undefined;

  /** Instant from which another upstream of the list is no longer cold. */
  private staleAt = Infinity;

  setUpstream(upstream: WarmingUpstream): void {
    this.upstreams.set(upstream.record.upstream, upstream);
    this.usable = undefined;
  }

  removeUpstream(upstream: string): void {
    if (this.upstreams.delete(upstream)) this.usable = undefined;
  }

  /** Lists the upstreams with their weights; the list is the same until one of them changes. */
  listUsable(now: number): readonly UsableUpstream[] {
    if (this.usable && now < this.staleAt) return this.usable;
    const upstreams = [...this.upstreams.values()];
    this.usable = upstreams.map(({ record, warmAt }) => ({
      record,
      weight: now < warmAt ? coldWeight : 1,
    }));
    this.staleAt = upstreams
      .filter(({ warmAt }) => warmAt > now)
      .reduce((earliest, { warmAt }) => Math.min(earliest, warmAt), Infinity);
    return this.usable;
  }
}
