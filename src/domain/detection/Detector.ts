import type ReporterEvidence from './Evidence.ts';

/** An upstream that the evidence shows to be gray. */
export interface Outlier {
  readonly upstream: string;
  /** Orders outliers when the floor allows only some ejections; higher is worse. */
  readonly severity: number;
}

/** One detection round. */
export interface DetectionRound {
  readonly now: number;
  /** Upstreams that started a short time ago; a slow answer of theirs is no evidence. */
  readonly warming: ReadonlySet<string>;
}

/** Finds the gray upstreams of one service. */
export default interface Detector {
  /** Latency from which an open request counts as overdue; undefined until it is known. */
  readonly slowBoundMs: number | undefined;
  recordEvidence(evidence: ReporterEvidence): void;
  /** Weighs what was recorded since the last round. */
  listOutliers(round: DetectionRound): readonly Outlier[];
  /** Forgets what was found about an upstream, for example when it comes back. */
  resetUpstream(upstream: string): void;
}
