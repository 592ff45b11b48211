import type { UpstreamLoad } from '../../domain/requests/Balancer.ts';
import type LoadSource from '../requests/LoadSource.ts';
import type { EndedAttempt } from '../requests/LoadSource.ts';
import type DomainExchange from './DomainExchange.ts';

/** Tracks the load of upstreams, combined over all entry hosts of the failure domain. */
export default class DomainLoad implements LoadSource {
  private readonly exchange: DomainExchange;

  constructor(options: { readonly exchange: DomainExchange }) {
    this.exchange = options.exchange;
  }

  readLoad(_service: string, upstream: string): UpstreamLoad {
    const reported = this.exchange.readLoad(upstream);
    return {
      inFlight: this.exchange.countInFlight(upstream),
      reportedLoad: reported?.load ?? 0,
      reportedAt: reported?.at ?? 0,
    };
  }

  recordStart(_service: string, upstream: string): void {
    this.exchange.recordStart(upstream);
  }

  recordEnd({ upstream, reportedLoad }: EndedAttempt): void {
    if (reportedLoad !== undefined) this.exchange.reportLoad(upstream, reportedLoad);
    this.exchange.recordEnd(upstream);
  }
}
