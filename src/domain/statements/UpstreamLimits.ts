import pruneMap from '../collections/pruneMap.ts';
import RateLimit from './RateLimit.ts';
import type UpstreamIncarnation from './UpstreamIncarnation.ts';

// Share of a limit for the entry hosts of the upstream's failure domain; the other failure domains
// have equal parts of the rest. Hosts use upstreams of their own failure domain first.
const ownDomainShare = 0.6;
// Requests that may be sent at once after a pause, as the time in which the limit allows them.
const burstMs = 1500;
// Only an answer shows that a limit has ended, so an upstream that takes no requests still gets one
// from time to time.
const minRequestsPerSecond = 0.05;

/** The limit that an incarnation of an upstream states; undefined once it states none any more. */
export interface StatedLimit extends UpstreamIncarnation {
  readonly requestsPerSecond: number | undefined;
}

interface ActiveLimit {
  readonly incarnation: number;
  readonly rate: RateLimit;
  requestsPerSecond: number;
  /** Instant of the newest answer that stated the limit. */
  statedAt: number;
}

/** Options of the limits. */
export interface UpstreamLimitsOptions {
  readonly failureDomain: string;
  /** Number of failure domains of the fleet. */
  readonly failureDomains: number;
  /** Failure domain of an upstream; undefined for an unknown upstream. */
  readonly findFailureDomain: (upstream: string) => string | undefined;
}

/**
 * Keeps the requests that the entry hosts of one failure domain send to an upstream within their
 * share of the limit that the upstream states for the whole fleet.
 */
export default class UpstreamLimits {
  private readonly options: UpstreamLimitsOptions;

  private readonly limits = new Map<string, ActiveLimit>();

  constructor(options: UpstreamLimitsOptions) {
    this.options = options;
  }

  /** Number of upstreams with a limit. */
  get size(): number {
    return this.limits.size;
  }

  /**
   * Records what an upstream stated in an answer to a request that was sent at `sentAt`. An answer
   * to a request that was sent before the limit was last stated does not end the limit. Returns
   * whether the limit has changed.
   */
  recordStatement(stated: StatedLimit, sentAt: number, now: number): boolean {
    const { upstream, incarnation, requestsPerSecond } = stated;
    const known = this.limits.get(upstream);
    if (known && known.incarnation > incarnation) return false;
    const current = known?.incarnation === incarnation ? known : undefined;
    if (requestsPerSecond === undefined) {
      const hasEnded = known !== undefined && (!current || sentAt > current.statedAt);
      return hasEnded && this.limits.delete(upstream);
    }
    const unitsPerSecond = this.computeRate(upstream, requestsPerSecond);
    const limit = current ?? {
      incarnation,
      rate: new RateLimit({ unitsPerSecond, burstMs }),
      requestsPerSecond: -1,
      statedAt: now,
    };
    const hasChanged = limit.requestsPerSecond !== requestsPerSecond;
    limit.rate.setRate(unitsPerSecond);
    limit.requestsPerSecond = requestsPerSecond;
    limit.statedAt = now;
    this.limits.set(upstream, limit);
    return hasChanged;
  }

  /** Counts requests that hosts of this failure domain have sent to an upstream. */
  recordRequests(upstream: string, count: number, now: number): void {
    this.limits.get(upstream)?.rate.takeUnits(count, now);
  }

  /** Whether an upstream has a limit. */
  hasLimit(upstream: string): boolean {
    return this.limits.has(upstream);
  }

  /** Whether a host of this failure domain may send a request to the upstream. */
  mayUse(upstream: UpstreamIncarnation, now: number): boolean {
    return this.getFreeAt(upstream) <= now;
  }

  /** Instant from which a request may be sent to the upstream. */
  getFreeAt({ upstream, incarnation }: UpstreamIncarnation): number {
    const limit = this.limits.get(upstream);
    return limit?.incarnation === incarnation ? limit.rate.freeAt : -Infinity;
  }

  /**
   * How much of the requests that may be sent at once has been used: from 0, when all of them may
   * be sent or there is no limit, to 1.
   */
  computeUse(upstream: UpstreamIncarnation, now: number): number {
    const unusedMs = now - this.getFreeAt(upstream);
    return 1 - Math.min(1, Math.max(0, unusedMs / burstMs));
  }

  /** Limits in effect, for a host that starts. */
  listLimits(): readonly StatedLimit[] {
    return [...this.limits].map(([upstream, { incarnation, requestsPerSecond }]) => ({
      upstream,
      incarnation,
      requestsPerSecond,
    }));
  }

  /** Removes the limits of upstreams for which `isKnown` returns false. */
  pruneUnknown(isKnown: (upstream: string) => boolean): void {
    pruneMap(this.limits, (_, upstream) => !isKnown(upstream));
  }

  private computeRate(upstream: string, requestsPerSecond: number): number {
    return Math.max(minRequestsPerSecond, requestsPerSecond * this.computeShare(upstream));
  }

  private computeShare(upstream: string): number {
    const { failureDomain, failureDomains, findFailureDomain } = this.options;
    if (failureDomains <= 1) return 1;
    return findFailureDomain(upstream) === failureDomain
      ? ownDomainShare
      : (1 - ownDomainShare) / (failureDomains - 1);
  }
}
