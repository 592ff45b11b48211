import type Detector from './Detector.ts';
import type { DetectionRound, Outlier } from './Detector.ts';
import type DetectionSettings from './detectionSettings.ts';
import type { TestName, TestSettings } from './detectionSettings.ts';
import type ReporterEvidence from './Evidence.ts';
import type { UpstreamEvidence } from './Evidence.ts';
import { getBucketEdge, getLatencyBucket } from './latencyBuckets.ts';
import LatencyHistogram, { readBucketCounts } from './LatencyHistogram.ts';
import ReporterHistory from './ReporterHistory.ts';
import UpstreamStatistics from './UpstreamStatistics.ts';
import type { BadAnswers, TestStatistics } from './UpstreamStatistics.ts';

const recentHalfLifeMs = 500;
const longTermHalfLifeMs = 20_000;
const scoreHalfLifeMs = 60_000;
const latencyHalfLifeMs = 15_000;
const boundIntervalMs = 1000;
const reporterIdleMs = 60_000;
const activeReporterMs = 10_000;
// An answer is slow when its latency is at least this many buckets above the median. Seven buckets
// are a factor between 2.8 and 3.4, so that an upstream with twice the load does not count as gray.
const slowBucketDistance = 7;
// The slow bound is at least this: smaller latency differences are noise of the hosts and not a
// fault.
const minSlowBoundMs = 5;
const minAnswersForBound = 20;
// With fewer answers than this in its window, the bad share of an upstream is not meaningful.
const minWindowAnswers = 0.5;
// Weight that a reporting failure domain loses for each unit of its own fault share: its evidence
// has no weight when a quarter of its answers are bad at upstreams that others find good.
const domainFaultFactor = 4;
// The bad share of an outlier is at least that of the other upstreams times this factor, plus the
// margin.
const outlierFactor = 3;
const outlierMargin = 0.02;
// When the bad share of the other upstreams reaches this, only an upstream with hardly any good
// answers is an outlier.
const commonFaultShare = 0.25;
// Upper bound of a score, as a multiple of the threshold. It bounds the time that a recovered
// upstream needs to fall below the threshold when the floor kept it in use.
const maxScoreFactor = 1.5;

/** Options of the pooled detector. */
export interface PooledDetectorOptions {
  readonly settings: DetectionSettings;
}

const testNames: readonly TestName[] = ['failed', 'slow'];

interface Shares {
  readonly healthy: number;
  readonly gray: number;
}

// Excludes the highest quarter of the values, so that gray upstreams do not distort the mean while
// they are at most a quarter of all. The trimmed mean varies less than a median of small counts.
function computeTrimmedMean(values: readonly number[]): number {
  const kept = Math.max(1, values.length - Math.ceil(values.length / 4));
  const lowest = [...values].sort((a, b) => a - b).slice(0, kept);
  return lowest.reduce((sum, value) => sum + value, 0) / kept;
}

// Share of bad answers at which an upstream is an outlier, given the share of the other upstreams.
function computeOutlierBound(others: number): number {
  if (others < commonFaultShare) return outlierFactor * others + outlierMargin;
  return 1 - (1 - others) / 4;
}

/**
 * Runs sequential likelihood-ratio tests for each upstream on the pooled evidence of all reporters,
 * one on failures and one on slow answers. The reference is the mean of the other upstreams at the
 * same time, so a fault that all upstreams share makes none of them gray.
 */
export default class PooledDetector implements Detector {
  private readonly settings: DetectionSettings;

  private readonly upstreams = new Map<string, UpstreamStatistics>();

  private readonly reporterHistory = new ReporterHistory();

  private readonly domainHistory = new ReporterHistory();

  private pendingEvidence: ReporterEvidence[] = [];

  private lastRoundAt: number | undefined;

  private boundsUpdatedAt = 0;

  private serviceBoundMs: number | undefined;

  private reporterCap = 0;

  constructor({ settings }: PooledDetectorOptions) {
    this.settings = settings;
    this.reporterCap = settings.threshold;
  }

  get slowBoundMs(): number | undefined {
    return this.serviceBoundMs;
  }

  recordEvidence(evidence: ReporterEvidence): void {
    this.pendingEvidence.push(evidence);
  }

  listOutliers({ now, warming }: DetectionRound): readonly Outlier[] {
    this.decayStatistics(now);
    this.pendingEvidence.forEach((evidence) =>
      evidence.upstreams.forEach((counts) => this.countEvidence(evidence, counts, now)),
    );
    this.pendingEvidence = [];
    this.upstreams.forEach((statistics, upstream) => {
      this.applyTest('failed', upstream, statistics);
      this.applyTest('slow', upstream, statistics, warming.has(upstream));
    });
    const outliers: Outlier[] = [];
    this.upstreams.forEach((statistics, upstream) => {
      if (!this.isOutlier(upstream, statistics)) return;
      outliers.push({ upstream, severity: this.computeSeverity(statistics) });
    });
    return outliers;
  }

  resetUpstream(upstream: string): void {
    this.upstreams.get(upstream)?.reset();
  }

  private countEvidence(evidence: ReporterEvidence, counts: UpstreamEvidence, now: number): void {
    const { upstream, failed, overdue, latencies, lateLatencies } = counts;
    const { reporter, failureDomain } = evidence;
    const statistics = this.getStatistics(upstream);
    const { slowBucket = Infinity } = statistics;
    let slow = overdue;
    let good = 0;
    readBucketCounts(latencies, (bucket, count) => {
      good += count;
      if (bucket >= slowBucket) slow += count;
    });
    statistics.latencies.addCounts(latencies);
    statistics.latencies.addCounts(lateLatencies);
    statistics.failed.addAnswers(evidence, failed, failed + good);
    statistics.slow.addAnswers(evidence, slow, overdue + good);
    statistics.addDomainAnswers(failureDomain, failed + overdue + good);
    const answers = { upstream, failed, slow, good, overdue };
    this.reporterHistory.recordAnswers(reporter, answers, now);
    this.domainHistory.recordAnswers(failureDomain, answers, now);
  }

  private dropUpstream(upstream: string): void {
    this.upstreams.delete(upstream);
    this.reporterHistory.dropUpstream(upstream);
    this.domainHistory.dropUpstream(upstream);
  }

  private getStatistics(upstream: string): UpstreamStatistics {
    const known = this.upstreams.get(upstream);
    if (known) return known;
    const statistics = new UpstreamStatistics();
    this.upstreams.set(upstream, statistics);
    return statistics;
  }

  // Answers of a warming upstream are counted but do not change its score.
  private applyTest(
    test: TestName,
    upstream: string,
    statistics: UpstreamStatistics,
    isWarming = false,
  ): void {
    const { score } = statistics[test];
    const { good, bad } = statistics[test].takeAnswers();
    if (isWarming || (bad.length === 0 && (good === 0 || score.value === 0))) return;
    const shares = this.computeShares(test, this.computeOthersShare(test, upstream));
    bad.forEach((answers) =>
      this.addBadAnswers({ test, upstream, statistics, answers, healthy: shares.healthy }),
    );
    score.dropAmount(good * Math.log((1 - shares.healthy) / (1 - shares.gray)));
    const limit = this.settings.threshold * maxScoreFactor;
    if (score.value > limit) score.dropAmount(score.value - limit);
  }

  private addBadAnswers(options: {
    readonly test: TestName;
    readonly upstream: string;
    readonly statistics: UpstreamStatistics;
    readonly answers: BadAnswers;
    readonly healthy: number;
  }): void {
    const { test, upstream, statistics, answers, healthy } = options;
    const { reporter, failureDomain } = answers.evidence;
    const { threshold, domainShare } = this.settings;
    const reporterFaultShare = this.reporterHistory.computeReporterFaultShare(
      test,
      reporter,
      upstream,
    );
    const shares = this.computeShares(test, Math.max(healthy, reporterFaultShare));
    const domainFaultShare = this.domainHistory.computeReporterFaultShare(
      test,
      failureDomain,
      upstream,
    );
    const weight = Math.max(0, 1 - domainFaultFactor * Math.max(0, domainFaultShare - healthy));
    statistics[test].score.addEvidence({
      reporter,
      failureDomain,
      amount: weight * answers.count * Math.log(shares.gray / shares.healthy),
      reporterCap: this.reporterCap,
      domainCap: statistics.hasOtherDomains(failureDomain)
        ? threshold * domainShare
        : threshold * maxScoreFactor,
    });
  }

  private computeShares(test: TestName, othersShare: number): Shares {
    const settings: TestSettings = this.settings[test];
    const healthy = Math.min(0.98, Math.max(settings.healthyShare, othersShare));
    const gray = Math.max(settings.grayShare, Math.min(4 * healthy, (1 + healthy) / 2));
    return { healthy, gray: Math.max(gray, (1 + 9 * healthy) / 10) };
  }

  private computeOthersShare(test: TestName, upstream: string): number {
    const others = this.listOthers(test, upstream);
    return Math.max(
      this.computeHealthyShare(
        test,
        others.map(({ recent }) => recent.share),
      ),
      this.computeHealthyShare(
        test,
        others.map(({ longTerm }) => longTerm.share),
      ),
    );
  }

  // The trimmed mean is at most the mean, so a mean below the minimum share needs no sorting.
  private computeHealthyShare(test: TestName, values: readonly number[]): number {
    const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
    if (mean < this.settings[test].healthyShare) return this.settings[test].healthyShare;
    return computeTrimmedMean(values);
  }

  private listOthers(test: TestName, upstream: string): readonly TestStatistics[] {
    const others: TestStatistics[] = [];
    this.upstreams.forEach((statistics, name) => {
      const testStatistics = statistics[test];
      if (name !== upstream && testStatistics.recent.total >= minWindowAnswers)
        others.push(testStatistics);
    });
    return others;
  }

  private isOutlier(upstream: string, statistics: UpstreamStatistics): boolean {
    return testNames.some((test) => {
      const { score, recent } = statistics[test];
      if (score.value < this.settings.threshold) return false;
      // When all upstreams degrade at the same time, the share of the others lags by a few answers.
      // By the time the score reaches the threshold, the others have the same share.
      const others = computeTrimmedMean(
        this.listOthers(test, upstream).map((other) => other.recent.share),
      );
      const bound = computeOutlierBound(others);
      const isAboveBound = recent.share >= bound || recent.total < minWindowAnswers;
      if (!isAboveBound) score.reset();
      return isAboveBound;
    });
  }

  // Failures do more harm than slow answers, so they count twice.
  private computeSeverity({ failed, slow }: UpstreamStatistics): number {
    return 2 * failed.recent.share + slow.recent.share;
  }

  private decayStatistics(now: number): void {
    const elapsed = Math.max(0, now - (this.lastRoundAt ?? now));
    this.lastRoundAt = now;
    const recentFactor = 0.5 ** (elapsed / recentHalfLifeMs);
    const longTermFactor = 0.5 ** (elapsed / longTermHalfLifeMs);
    const scoreFactor = 0.5 ** (elapsed / scoreHalfLifeMs);
    this.upstreams.forEach((statistics) =>
      testNames.forEach((test) => {
        const { recent, longTerm, score } = statistics[test];
        recent.decayCounts(recentFactor);
        longTerm.decayCounts(longTermFactor);
        score.decayScore(scoreFactor);
      }),
    );
    this.reporterHistory.decayCounts(now);
    this.domainHistory.decayCounts(now);
    if (now - this.boundsUpdatedAt >= boundIntervalMs) this.updateBounds(now);
  }

  private updateBounds(now: number): void {
    const latencyFactor = 0.5 ** (Math.min(60_000, now - this.boundsUpdatedAt) / latencyHalfLifeMs);
    this.boundsUpdatedAt = now;
    const pool = new LatencyHistogram();
    this.upstreams.forEach((statistics, name) => {
      statistics.decayLatencies(latencyFactor);
      if (statistics.latencies.total < 1e-6) this.dropUpstream(name);
      pool.mergeHistogram(statistics.latencies);
    });
    this.upstreams.forEach((statistics) => {
      statistics.slowBucket = this.computeSlowBucket(pool, statistics.latencies);
    });
    const bucket = this.computeSlowBucket(pool);
    this.serviceBoundMs = bucket === undefined ? undefined : getBucketEdge(bucket);
    this.reporterHistory.dropIdle(now - reporterIdleMs);
    const reporters = this.reporterHistory.countReporters(now - activeReporterMs);
    const { threshold, reporterShare } = this.settings;
    this.reporterCap =
      threshold * Math.max(reporterShare, 1 / Math.ceil(Math.max(1, reporters) / 2));
  }

  private computeSlowBucket(
    latencies: LatencyHistogram,
    excluded?: LatencyHistogram,
  ): number | undefined {
    const median = latencies.findMedianBucket(minAnswersForBound, excluded);
    if (median === undefined) return undefined;
    return Math.max(median + slowBucketDistance, getLatencyBucket(minSlowBoundMs));
  }
}
