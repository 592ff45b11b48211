import type { StatedLimit } from './UpstreamLimits.ts';
import LeavingUpstreams from './LeavingUpstreams.ts';
import type UpstreamIncarnation from './UpstreamIncarnation.ts';
import UpstreamLimits from './UpstreamLimits.ts';
import type { UpstreamLimitsOptions } from './UpstreamLimits.ts';
import UpstreamPauses from './UpstreamPauses.ts';

/** Whether an upstream takes a request now, and if not, what it stated. */
export type UpstreamAccess = 'open' | 'limited' | 'paused' | 'leaving';

/** Decides from what upstreams state in their answers whether they may be sent requests. */
export default class UpstreamStatements {
  private readonly options: UpstreamLimitsOptions;

  private readonly limits: UpstreamLimits;

  private readonly pauses = new UpstreamPauses();

  private readonly leaving = new LeavingUpstreams();

  constructor(options: UpstreamLimitsOptions) {
    this.options = options;
    this.limits = new UpstreamLimits(options);
  }

  /** Number of upstreams that state a limit. */
  get limitedCount(): number {
    return this.limits.size;
  }

  /** Number of upstreams that state that they are leaving. */
  get leavingCount(): number {
    return this.leaving.size;
  }

  /** Number of upstreams that take no request from this host for now. */
  countPaused(now: number): number {
    return this.pauses.countPaused(now);
  }

  /** See `UpstreamLimits.recordStatement`. */
  recordLimit(stated: StatedLimit, sentAt: number, now: number): boolean {
    return this.limits.recordStatement(stated, sentAt, now);
  }

  /** See `UpstreamPauses.recordPause`. */
  recordPause(upstream: UpstreamIncarnation, until: number): boolean {
    return this.pauses.recordPause(upstream, until);
  }

  /** Records that an incarnation is leaving; returns whether this was not known yet. */
  recordLeaving(upstream: UpstreamIncarnation): boolean {
    return this.leaving.recordLeaving(upstream);
  }

  /** Counts requests that hosts of this failure domain have sent to an upstream with a limit. */
  recordRequests(upstream: string, count: number, now: number): void {
    this.limits.recordRequests(upstream, count, now);
  }

  hasLimit(upstream: string): boolean {
    return this.limits.hasLimit(upstream);
  }

  /** Decides whether a request may be sent to an upstream now. */
  decideAccess(upstream: UpstreamIncarnation, now: number): UpstreamAccess {
    const standing = this.decideStanding(upstream, now);
    if (standing !== 'open') return standing;
    return this.limits.mayUse(upstream, now) ? 'open' : 'limited';
  }

  /**
   * Decides whether a request that was counted under the limit of an upstream may still be sent to
   * it.
   */
  decideStanding(upstream: UpstreamIncarnation, now: number): Exclude<UpstreamAccess, 'limited'> {
    if (this.leaving.isLeaving(upstream)) return 'leaving';
    return this.pauses.getFreeAt(upstream) > now ? 'paused' : 'open';
  }

  /** Instant from which a request may be sent to an upstream; `Infinity` if it is leaving. */
  getFreeAt(upstream: UpstreamIncarnation): number {
    if (this.leaving.isLeaving(upstream)) return Infinity;
    return Math.max(this.limits.getFreeAt(upstream), this.pauses.getFreeAt(upstream));
  }

  /** See `UpstreamLimits.computeUse`. */
  computeLimitUse(upstream: UpstreamIncarnation, now: number): number {
    return this.limits.computeUse(upstream, now);
  }

  /** Limits in effect, for a host that starts. */
  listLimits(): readonly StatedLimit[] {
    return this.limits.listLimits();
  }

  /** Upstreams that are leaving, for a host that starts. */
  listLeaving(): readonly UpstreamIncarnation[] {
    return this.leaving.listLeaving();
  }

  /** Removes pauses that have ended and what upstreams stated that have left. */
  prune(now: number): void {
    this.pauses.pruneEnded(now);
    const isKnown = (upstream: string): boolean =>
      this.options.findFailureDomain(upstream) !== undefined;
    this.leaving.pruneUnknown(isKnown);
    this.limits.pruneUnknown(isKnown);
  }
}
