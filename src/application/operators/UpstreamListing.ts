import type { UpstreamStateName } from '../../domain/membership/UpstreamRecord.ts';

/** One upstream as operators see it. */
export interface UpstreamStatus {
  readonly service: string;
  readonly upstream: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly state: UpstreamStateName;
  /** Instant until which the upstream is ejected; 0 when it is not. */
  readonly ejectedUntil: number;
}

/** The upstreams in the directory of this host. */
export default interface UpstreamListing {
  listUpstreams(): readonly UpstreamStatus[];
}
