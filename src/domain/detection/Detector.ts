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
  /** Upstreams that are warming up; their slow answers are not evidence of a fault. */
  readonly warming: ReadonlySet<string>;
}

/** Finds the gray upstreams of one service. */
export default interface Detector {
  /**
   * Latency at or above which an open request counts as overdue, in milliseconds; undefined until
   * it is known.
   */
  readonly slowBoundMs: number | undefined;
  recordEvidence(evidence: ReporterEvidence): void;
  /** Evaluates the evidence recorded since the last round and returns the gray upstreams. */
  listOutliers(round: DetectionRound): readonly Outlier[];
  /** Discards the findings about an upstream, for example when its ejection ends. */
  resetUpstream(upstream: string): void;
}
