import type UpstreamLimits from '../../domain/limits/UpstreamLimits.ts';
import type { LimitedUpstream, StatedLimit } from '../../domain/limits/UpstreamLimits.ts';
import type Clock from '../../ports/Clock.ts';
import type UpstreamLimiter from '../requests/UpstreamLimiter.ts';
import type DomainExchange from './DomainExchange.ts';

/** Options of the limiter. */
export interface DomainLimiterOptions {
  readonly clock: Clock;
  readonly limits: UpstreamLimits;
  readonly exchange: DomainExchange;
}

/** Keeps the limits of upstreams together with the other entry hosts of the failure domain. */
export default class DomainLimiter implements UpstreamLimiter {
  private readonly options: DomainLimiterOptions;

  constructor(options: DomainLimiterOptions) {
    this.options = options;
  }

  mayUse(upstream: LimitedUpstream): boolean {
    const { limits, clock } = this.options;
    return limits.mayUse(upstream, clock.now());
  }

  getFreeAt(upstream: LimitedUpstream): number {
    return this.options.limits.getFreeAt(upstream);
  }

  reportLimit(stated: StatedLimit, sentAt: number): void {
    this.options.exchange.reportLimit(stated, sentAt);
  }
}
