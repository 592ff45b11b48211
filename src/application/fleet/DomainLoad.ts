import type { UpstreamLoad } from '../../domain/requests/Balancer.ts';
import type LoadSource from '../requests/LoadSource.ts';
import type { EndedRequest } from '../requests/LoadSource.ts';
import type DomainExchange from './DomainExchange.ts';

/** The load of upstreams as all entry hosts of the failure domain know it together. */
export default class DomainLoad implements LoadSource {
  private readonly own: LoadSource;

  private readonly exchange: DomainExchange;

  constructor(options: { readonly own: LoadSource; readonly exchange: DomainExchange }) {
    this.own = options.own;
    this.exchange = options.exchange;
  }

  readLoad(service: string, upstream: string): UpstreamLoad {
    const inFlight = this.exchange.countInFlight(upstream);
    return { ...this.own.readLoad(service, upstream), inFlight };
  }

  recordStart(service: string, upstream: string): void {
    this.own.recordStart(service, upstream);
    this.exchange.recordStart(upstream);
  }

  recordEnd(end: EndedRequest): void {
    this.own.recordEnd(end);
    this.exchange.recordEnd(end.upstream);
  }
}
