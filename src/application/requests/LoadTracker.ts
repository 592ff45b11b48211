import type { UpstreamLoad } from '../../domain/requests/Balancer.ts';
import type LoadSource from './LoadSource.ts';
import type { EndedAttempt } from './LoadSource.ts';

// Far longer than a reported load is meaningful: SlotBalancer halves its weight every 25 ms.
const retentionMs = 60_000;
const pruneIntervalMs = 10_000;

const noLoad: UpstreamLoad = { inFlight: 0, reportedLoad: 0, reportedAt: 0 };

interface MutableLoad {
  inFlight: number;
  reportedLoad: number;
  reportedAt: number;
  /** Instant at which the last attempt finished. */
  endedAt: number;
}

/**
 * Tracks this host's requests in flight at each upstream, and the load that answers reported.
 * Upstreams without a request in the last minute are dropped, so that upstreams that have left the
 * fleet use no memory.
 */
export default class LoadTracker implements LoadSource {
  /** By service, then by upstream, so that a look-up needs no concatenated key. */
  private readonly loads = new Map<string, Map<string, MutableLoad>>();

  private pruneAt = 0;

  /** Number of tracked upstreams. */
  get size(): number {
    return [...this.loads.values()].reduce((sum, { size }) => sum + size, 0);
  }

  readLoad(service: string, upstream: string): UpstreamLoad {
    return this.loads.get(service)?.get(upstream) ?? noLoad;
  }

  recordStart(service: string, upstream: string): void {
    this.getLoad(service, upstream).inFlight += 1;
  }

  recordEnd(attempt: EndedAttempt): void {
    const load = this.getLoad(attempt.service, attempt.upstream);
    load.inFlight -= 1;
    load.endedAt = attempt.now;
    if (attempt.reportedLoad !== undefined) {
      load.reportedLoad = attempt.reportedLoad;
      load.reportedAt = attempt.now;
    }
    this.pruneIdle(attempt.now);
  }

  private pruneIdle(now: number): void {
    if (now < this.pruneAt) return;
    this.pruneAt = now + pruneIntervalMs;
    this.loads.forEach((upstreams, service) => {
      upstreams.forEach(({ inFlight, endedAt }, upstream) => {
        if (inFlight === 0 && endedAt + retentionMs <= now) upstreams.delete(upstream);
      });
      if (upstreams.size === 0) this.loads.delete(service);
    });
  }

  private getLoad(service: string, upstream: string): MutableLoad {
    const upstreams = this.loads.get(service) ?? new Map<string, MutableLoad>();
    const known = upstreams.get(upstream);
    if (known) return known;
    const load = { inFlight: 0, reportedLoad: 0, reportedAt: 0, endedAt: 0 };
    upstreams.set(upstream, load);
    this.loads.set(service, upstreams);
    return load;
  }
}
