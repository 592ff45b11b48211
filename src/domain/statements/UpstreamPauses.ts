import pruneMap from '../collections/pruneMap.ts';
import type UpstreamIncarnation from './UpstreamIncarnation.ts';

interface Pause {
  readonly incarnation: number;
  readonly until: number;
}

/** Upstreams that take no request from this host for a stated time. */
export default class UpstreamPauses {
  private readonly pauses = new Map<string, Pause>();

  /** Number of upstreams with a pause. */
  countPaused(now: number): number {
    return [...this.pauses.values()].filter(({ until }) => until > now).length;
  }

  /**
   * Records that an incarnation takes no request before an instant; an earlier pause that lasts
   * longer still holds. Returns whether the upstream is paused for longer than before.
   */
  recordPause({ upstream, incarnation }: UpstreamIncarnation, until: number): boolean {
    const known = this.pauses.get(upstream);
    if (known && known.incarnation > incarnation) return false;
    if (known?.incarnation === incarnation && known.until >= until) return false;
    this.pauses.set(upstream, { incarnation, until });
    return true;
  }

  /** Instant from which the incarnation takes requests again. */
  getFreeAt({ upstream, incarnation }: UpstreamIncarnation): number {
    const pause = this.pauses.get(upstream);
    return pause?.incarnation === incarnation ? pause.until : -Infinity;
  }

  /** Removes the pauses that have ended. */
  pruneEnded(now: number): void {
    pruneMap(this.pauses, ({ until }) => until <= now);
  }
}
