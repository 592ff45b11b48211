import type { UpstreamEvidence } from '../domain/detection/Evidence.ts';
import type Result from '../domain/errors/Result.ts';
import type HostRecord from '../domain/membership/HostRecord.ts';

/** What a reporter tells the coordinator of a service. */
export interface ServiceReport {
  readonly service: string;
  /**
   * Instant before which the reporter recognises no other coordinator; undefined without a lease.
   */
  readonly grantedUntil: number | undefined;
  /** Only upstreams with traffic. */
  readonly upstreams: readonly UpstreamEvidence[];
}

/** One report of one host to one coordinator. */
export interface DetectionReport {
  readonly reporter: string;
  readonly failureDomain: string;
  /** The process that the leases are meant for. */
  readonly judgeIncarnation: number;
  /** Preset revision that is active on the reporter. */
  readonly revision: number;
  readonly services: readonly ServiceReport[];
}

/** Latency from which open requests of a service count as slow. */
export interface SlowBound {
  readonly service: string;
  /** Undefined until the coordinator knows enough answers. */
  readonly slowBoundMs: number | undefined;
}

/** The connection of a reporter to one coordinator. */
export default interface DetectionLink {
  /** Never rejects; `peer_unreachable` when no answer came by the deadline. */
  sendReport(report: DetectionReport, deadline: number): Promise<Result<readonly SlowBound[]>>;
  close(): void;
}

/** Opens links to coordinators. */
export interface DetectionLinkOpener {
  openLink(coordinator: HostRecord): DetectionLink;
}
