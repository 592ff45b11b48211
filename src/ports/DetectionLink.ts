import type { UpstreamEvidence } from '../domain/detection/Evidence.ts';
import type Result from '../domain/errors/Result.ts';
import type HostRecord from '../domain/membership/HostRecord.ts';

/** What a reporter tells the judge of a service. */
export interface ServiceReport {
  readonly service: string;
  /** Instant before which the reporter recognises no other judge; undefined without a grant. */
  readonly grantedUntil: number | undefined;
  /** Only upstreams with traffic. */
  readonly upstreams: readonly UpstreamEvidence[];
}

/** One report of one host to one judge. */
export interface DetectionReport {
  readonly reporter: string;
  readonly failureDomain: string;
  /** The process that the grants are meant for. */
  readonly judgeIncarnation: number;
  /** Preset revision that is active on the reporter. */
  readonly revision: number;
  readonly services: readonly ServiceReport[];
}

/** Latency from which open requests of a service count as slow. */
export interface SlowBound {
  readonly service: string;
  /** Undefined until the judge knows enough answers. */
  readonly slowBoundMs: number | undefined;
}

/** The connection of a reporter to one judge. */
export default interface DetectionLink {
  /** Never rejects; `peer_unreachable` when no answer came by the deadline. */
  sendReport(report: DetectionReport, deadline: number): Promise<Result<readonly SlowBound[]>>;
  close(): void;
}

/** Opens links to judges. */
export interface DetectionLinkOpener {
  openLink(judge: HostRecord): DetectionLink;
}
