import type { LimitedUpstream, StatedLimit } from '../../domain/limits/UpstreamLimits.ts';

/** Keeps requests within the limits that upstreams state. */
export default interface UpstreamLimiter {
  /** Whether a request may be sent to the upstream now. */
  mayUse(upstream: LimitedUpstream): boolean;
  /** Instant from which a request may be sent to the upstream. */
  getFreeAt(upstream: LimitedUpstream): number;
  /** Records what an upstream stated in an answer to a request that was sent at `sentAt`. */
  reportLimit(stated: StatedLimit, sentAt: number): void;
}
