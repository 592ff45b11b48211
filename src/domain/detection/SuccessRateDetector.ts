import type Detector from './Detector.ts';
import type { DetectionRound, Outlier } from './Detector.ts';
import countBadAnswers from './countBadAnswers.ts';
import type ReporterEvidence from './Evidence.ts';
import DecayingFailureRate from './DecayingFailureRate.ts';

/** Options of the detector. */
export interface SuccessRateOptions {
  /** An upstream is gray when its success rate is this many standard deviations below the mean. */
  readonly deviations: number;
  /** Upstreams with fewer answers in the window are ignored. */
  readonly minAnswers: number;
  /** Half-life of the window in milliseconds. */
  readonly halfLifeMs: number;
  /** Fixed latency at or above which an answer counts as bad, in milliseconds. */
  readonly slowBoundMs: number;
}

// With fewer upstreams, the mean and the standard deviation are too unreliable to find an outlier.
const minUpstreams = 3;

/**
 * Compares the success rate of each upstream, as one host sees it, with the mean of all: the usual
 * outlier detection of proxies, kept as a baseline for comparisons.
 */
export default class SuccessRateDetector implements Detector {
  private readonly options: SuccessRateOptions;

  private readonly windows = new Map<string, DecayingFailureRate>();

  private lastRound: number | undefined;

  constructor(options: SuccessRateOptions) {
    this.options = options;
  }

  get slowBoundMs(): number {
    return this.options.slowBoundMs;
  }

  recordEvidence({ upstreams }: ReporterEvidence): void {
    upstreams.forEach((evidence) => {
      const window = this.windows.get(evidence.upstream) ?? new DecayingFailureRate();
      const { bad, total } = countBadAnswers(evidence, this.options.slowBoundMs);
      window.addCounts(bad, total);
      this.windows.set(evidence.upstream, window);
    });
  }

  listOutliers({ now }: DetectionRound): readonly Outlier[] {
    const { halfLifeMs, minAnswers, deviations } = this.options;
    const factor = 0.5 ** ((now - (this.lastRound ?? now)) / halfLifeMs);
    this.lastRound = now;
    this.windows.forEach((window) => window.decayCounts(factor));
    const rates = [...this.windows]
      .filter(([, { total }]) => total >= minAnswers)
      .map(([upstream, { bad, total }]) => ({ upstream, rate: 1 - bad / total }));
    if (rates.length < minUpstreams) return [];
    const mean = rates.reduce((sum, { rate }) => sum + rate, 0) / rates.length;
    const variance = rates.reduce((sum, { rate }) => sum + (rate - mean) ** 2, 0) / rates.length;
    const bound = mean - deviations * Math.sqrt(variance);
    return rates.flatMap(({ upstream, rate }) =>
      rate < bound ? [{ upstream, severity: 1 - rate }] : [],
    );
  }

  resetUpstream(upstream: string): void {
    this.windows.delete(upstream);
  }
}
