import type ReporterEvidence from './Evidence.ts';
import EvidenceScore from './EvidenceScore.ts';
import LatencyHistogram from './LatencyHistogram.ts';
import DecayingFailureRate from './DecayingFailureRate.ts';

/** Bad answers of one report that are not yet part of the score. */
export interface BadAnswers {
  readonly evidence: ReporterEvidence;
  readonly count: number;
}

/** Answers of one round that are not yet part of the score. */
export interface RoundAnswers {
  readonly good: number;
  readonly bad: readonly BadAnswers[];
}

const noBadAnswers: readonly BadAnswers[] = [];

/** Recent answers and the score of one test at one upstream. */
export class TestStatistics {
  readonly recent = new DecayingFailureRate();

  readonly longTerm = new DecayingFailureRate();

  readonly score = new EvidenceScore();

  private good = 0;

  private bad: BadAnswers[] = [];

  /** Adds the answers of a report; `total` includes the bad ones. */
  addAnswers(evidence: ReporterEvidence, bad: number, total: number): void {
    this.recent.addCounts(bad, total);
    this.longTerm.addCounts(bad, total);
    this.good += total - bad;
    if (bad > 0) this.bad.push({ evidence, count: bad });
  }

  /** Returns and resets the answers that were added since the last call. */
  takeAnswers(): RoundAnswers {
    const { good, bad } = this;
    this.good = 0;
    if (bad.length === 0) return { good, bad: noBadAnswers };
    this.bad = [];
    return { good, bad };
  }
}

/** Statistics of the pooled detector about one upstream. */
export default class UpstreamStatistics {
  readonly failed = new TestStatistics();

  readonly slow = new TestStatistics();

  readonly latencies = new LatencyHistogram();

  /** Answers by failure domain of the reporter, decayed like the latencies. */
  private readonly answersByDomain = new Map<string, { count: number }>();

  /** First latency bucket that counts as slow; undefined until the others have enough answers. */
  slowBucket: number | undefined = undefined;

  addDomainAnswers(failureDomain: string, count: number): void {
    const domainAnswers = this.answersByDomain.get(failureDomain);
    if (domainAnswers) domainAnswers.count += count;
    else this.answersByDomain.set(failureDomain, { count });
  }

  /** Whether other failure domains send this upstream at least a tenth of its traffic. */
  hasOtherDomains(failureDomain: string): boolean {
    const total = [...this.answersByDomain.values()].reduce((sum, { count }) => sum + count, 0);
    return total - (this.answersByDomain.get(failureDomain)?.count ?? 0) >= total / 10;
  }

  /** Multiplies the latency counts and the counts by failure domain by the factor. */
  decayLatencies(factor: number): void {
    this.latencies.decayCounts(factor);
    this.answersByDomain.forEach((domainAnswers) => {
      domainAnswers.count *= factor;
    });
  }

  reset(): void {
    [this.failed, this.slow].forEach((test) => {
      test.score.reset();
      test.recent.decayCounts(0);
      test.longTerm.decayCounts(0);
    });
  }
}
