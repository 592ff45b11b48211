import type Detector from './Detector.ts';
import type { Outlier } from './Detector.ts';
import countBadAnswers from './countBadAnswers.ts';
import type ReporterEvidence from './Evidence.ts';

/** Options of the detector. */
export interface ConsecutiveFailuresOptions {
  /** Number of consecutive bad answers at which an upstream counts as gray. */
  readonly maxFailures: number;
  /** Fixed latency at or above which an answer counts as bad, in milliseconds. */
  readonly slowBoundMs: number;
}

/**
 * Counts consecutive bad answers as one host sees them: the usual outlier detection of proxies,
 * kept as a baseline for comparisons. The good answers of a report count as earlier than its bad
 * ones.
 */
export default class ConsecutiveFailuresDetector implements Detector {
  readonly slowBoundMs: number;

  private readonly maxFailures: number;

  private readonly consecutiveBad = new Map<string, number>();

  // Upstreams that reached the limit; the set is empty in almost all rounds.
  private readonly gray = new Set<string>();

  constructor({ maxFailures, slowBoundMs }: ConsecutiveFailuresOptions) {
    this.maxFailures = maxFailures;
    this.slowBoundMs = slowBoundMs;
  }

  recordEvidence({ upstreams }: ReporterEvidence): void {
    upstreams.forEach((evidence) => {
      const { bad, total } = countBadAnswers(evidence, this.slowBoundMs);
      const previous = total > bad ? 0 : (this.consecutiveBad.get(evidence.upstream) ?? 0);
      this.consecutiveBad.set(evidence.upstream, previous + bad);
      if (previous + bad >= this.maxFailures) this.gray.add(evidence.upstream);
      else this.gray.delete(evidence.upstream);
    });
  }

  listOutliers(): readonly Outlier[] {
    return [...this.gray].map((upstream) => ({
      upstream,
      severity: this.consecutiveBad.get(upstream) ?? 0,
    }));
  }

  resetUpstream(upstream: string): void {
    this.consecutiveBad.delete(upstream);
    this.gray.delete(upstream);
  }
}
