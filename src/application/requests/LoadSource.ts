import type { UpstreamLoad } from '../../domain/requests/Balancer.ts';

/** A request to an upstream that ended. */
export interface EndedRequest {
  readonly service: string;
  readonly upstream: string;
  /** Load that the answer reported, when it did. */
  readonly reportedLoad: number | undefined;
  readonly now: number;
}

/** What is known of the load of upstreams. */
export default interface LoadSource {
  readLoad(service: string, upstream: string): UpstreamLoad;
  recordStart(service: string, upstream: string): void;
  recordEnd(end: EndedRequest): void;
}
