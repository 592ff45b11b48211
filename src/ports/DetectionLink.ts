import type { UpstreamEvidence } from '../domain/detection/Evidence.ts';
import type Result from '../domain/errors/Result.ts';
import type HostRecord from '../domain/membership/HostRecord.ts';

/** The part of a detection report about one service. */
export interface ServiceReport {
  readonly service: string;
  /**
   * End of the lease that the reporter has granted to this coordinator, before which it accepts no
   * other one; undefined without a lease.
   */
  readonly grantedUntil: number | undefined;
  /** Evidence about the upstreams that had traffic. */
  readonly upstreams: readonly UpstreamEvidence[];
}

/** A detection report of one entry host to one coordinator. */
export interface DetectionReport {
  readonly reporter: string;
  readonly failureDomain: string;
  /** Incarnation of the coordinator that the leases are granted to. */
  readonly judgeIncarnation: number;
  /** Revision of the preset that is active on the reporter. */
  readonly revision: number;
  readonly services: readonly ServiceReport[];
}

/** Latency from which open requests of a service count as slow. */
export interface SlowBound {
  readonly service: string;
  /** Undefined until the coordinator has counted enough answers. */
  readonly slowBoundMs: number | undefined;
}

/** The connection of a reporter to one coordinator. */
export default interface DetectionLink {
  /** Never rejects; fails with `peer_unreachable` when no answer came by the deadline. */
  sendReport(report: DetectionReport, deadline: number): Promise<Result<readonly SlowBound[]>>;
  close(): void;
}

/** Opens links to coordinators. */
export interface DetectionLinkOpener {
  openLink(coordinator: HostRecord): DetectionLink;
}
