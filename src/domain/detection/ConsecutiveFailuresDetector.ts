import type Detector from './Detector.ts';
import type { Outlier } from './Detector.ts';
import countBadAnswers from './countBadAnswers.ts';
import type ReporterEvidence from './Evidence.ts';

/** What the detector needs. */
export interface ConsecutiveFailuresOptions {
  /** Number of bad answers in a row from which an upstream is gray. */
  readonly maxFailures: number;
  /** Fixed latency from which an answer is bad. */
  readonly slowBoundMs: number;
}

/**
 * Counts bad answers in a row, as one host sees them: the usual outlier detection of proxies, kept
 * as a baseline of the comparisons. Evidence of one report counts its good answers first.
 */
export default class ConsecutiveFailuresDetector implements Detector {
  readonly slowBoundMs: number;

  private readonly maxFailures: number;

  private readonly rows = new Map<string, number>();

  // Upstreams whose row is long enough; it is empty in almost all rounds.
  private readonly gray = new Set<string>();

  constructor({ maxFailures, slowBoundMs }: ConsecutiveFailuresOptions) {
    this.maxFailures = maxFailures;
    this.slowBoundMs = slowBoundMs;
  }

  recordEvidence({ upstreams }: ReporterEvidence): void {
    upstreams.forEach((evidence) => {
      const { bad, total } = countBadAnswers(evidence, this.slowBoundMs);
      const before = total > bad ? 0 : (this.rows.get(evidence.upstream) ?? 0);
      this.rows.set(evidence.upstream, before + bad);
      if (before + bad >= this.maxFailures) this.gray.add(evidence.upstream);
      else this.gray.delete(evidence.upstream);
    });
  }

  listOutliers(): readonly Outlier[] {
    return [...this.gray].map((upstream) => ({ upstream, severity: this.rows.get(upstream) ?? 0 }));
  }

  resetUpstream(upstream: string): void {
    this.rows.delete(upstream);
    this.gray.delete(upstream);
  }
}
