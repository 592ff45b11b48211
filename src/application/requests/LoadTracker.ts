import type { UpstreamLoad } from '../../domain/requests/Balancer.ts';

interface MutableLoad {
  inFlight: number;
  reportedLoad: number;
  reportedAt: number;
}

/** Requests of this host in flight at each upstream, and the load that answers reported. */
export default class LoadTracker {
  private readonly loads = new Map<string, MutableLoad>();

  readLoad(service: string, upstream: string): UpstreamLoad {
    return this.getLoad(service, upstream);
  }

  recordStart(service: string, upstream: string): void {
    this.getLoad(service, upstream).inFlight += 1;
  }

  recordEnd(end: {
    readonly service: string;
    readonly upstream: string;
    readonly reportedLoad: number | undefined;
    readonly now: number;
  }): void {
    const load = this.getLoad(end.service, end.upstream);
    load.inFlight -= 1;
    if (end.reportedLoad === undefined) return;
    load.reportedLoad = end.reportedLoad;
    load.reportedAt = end.now;
  }

  private getLoad(service: string, upstream: string): MutableLoad {
    const key = `${service}/${upstream}`;
    const known = this.loads.get(key);
    if (known) return known;
    const load = { inFlight: 0, reportedLoad: 0, reportedAt: 0 };
    this.loads.set(key, load);
    return load;
  }
}
