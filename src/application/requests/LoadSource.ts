import type { UpstreamLoad } from '../../domain/requests/Balancer.ts';

/** A finished attempt at an upstream. */
export interface EndedAttempt {
  readonly service: string;
  readonly upstream: string;
  /** Load that the answer reported; undefined when it reported none. */
  readonly reportedLoad: number | undefined;
  readonly now: number;
}

/** Tracks the load of upstreams. */
export default interface LoadSource {
  readLoad(service: string, upstream: string): UpstreamLoad;
  recordStart(service: string, upstream: string): void;
  recordEnd(attempt: EndedAttempt): void;
}
