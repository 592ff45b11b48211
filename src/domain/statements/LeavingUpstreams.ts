import pruneMap from '../collections/pruneMap.ts';
import type UpstreamIncarnation from './UpstreamIncarnation.ts';

/** Upstreams whose answers state that they are leaving. */
export default class LeavingUpstreams {
  /** Newest incarnation that is leaving, by upstream. */
  private readonly incarnations = new Map<string, number>();

  /** Number of upstreams that are leaving. */
  get size(): number {
    return this.incarnations.size;
  }

  /** Returns whether this was not known yet. */
  recordLeaving({ upstream, incarnation }: UpstreamIncarnation): boolean {
    if ((this.incarnations.get(upstream) ?? -Infinity) >= incarnation) return false;
    this.incarnations.set(upstream, incarnation);
    return true;
  }

  isLeaving({ upstream, incarnation }: UpstreamIncarnation): boolean {
    return (this.incarnations.get(upstream) ?? -Infinity) >= incarnation;
  }

  /** Lists the upstreams that are leaving, for a host that starts. */
  listLeaving(): readonly UpstreamIncarnation[] {
    return [...this.incarnations].map(([upstream, incarnation]) => ({ upstream, incarnation }));
  }

  /** Removes the upstreams for which `isKnown` returns false. */
  pruneUnknown(isKnown: (upstream: string) => boolean): void {
    pruneMap(this.incarnations, (_, upstream) => !isKnown(upstream));
  }
}
