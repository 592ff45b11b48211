import type { UpstreamEvidence } from '../domain/detection/Evidence.ts';
import type Result from '../domain/errors/Result.ts';
import type HostRecord from '../domain/membership/HostRecord.ts';

/** The part of a detection report about one service. */
export interface ServiceReport {
  readonly service: string;
  /**
   * Deadline of the lease that the reporter granted to this coordinator; until then the reporter
   * accepts no other coordinator. Undefined when it granted no lease.
   */
  readonly grantedUntil: number | undefined;
  /** Evidence about the upstreams that had traffic. */
  readonly upstreams: readonly UpstreamEvidence[];
}

/** A detection report from one entry host to one coordinator. */
export interface DetectionReport {
  readonly reporter: string;
  readonly failureDomain: string;
  /** Incarnation of the coordinator that the leases are granted to. */
  readonly judgeIncarnation: number;
  /** Revision of the preset that is active on the reporter. */
  readonly revision: number;
  readonly services: readonly ServiceReport[];
}

/** Latency at or above which open requests of a service count as slow. */
export interface SlowBound {
  readonly service: string;
  /** Undefined until the coordinator has counted enough answers. */
  readonly slowBoundMs: number | undefined;
}

/** The connection from a reporter to one coordinator. */
export default interface DetectionLink {
  /** Never rejects; fails with `peer_unreachable` when no answer arrives by the deadline. */
  sendReport(report: DetectionReport, deadline: number): Promise<Result<readonly SlowBound[]>>;
  close(): void;
}

/** Opens links to coordinators. */
export interface DetectionLinkOpener {
  openLink(coordinator: HostRecord): DetectionLink;
}
