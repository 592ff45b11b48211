import type Detector from './Detector.ts';
import type { DetectionRound, Suspect } from './Detector.ts';
import type DetectionSettings from './detectionSettings.ts';
import type { TestSettings } from './detectionSettings.ts';
import type ReporterEvidence from './Evidence.ts';
import type { UpstreamEvidence } from './Evidence.ts';
import { getBucketEdge, getLatencyBucket } from './latencyBuckets.ts';
import LatencyHistogram, { readBucketCounts } from './LatencyHistogram.ts';
import ReporterHistory from './ReporterHistory.ts';
import UpstreamStatistics from './UpstreamStatistics.ts';
import type { TestStatistics } from './UpstreamStatistics.ts';

const recentHalfLifeMs = 500;
const longerHalfLifeMs = 20_000;
const scoreHalfLifeMs = 60_000;
const latencyHalfLifeMs = 15_000;
const boundIntervalMs = 1000;
const reporterIdleMs = 60_000;
const activeReporterMs = 10_000;
// Six buckets are a factor between 2.4 and 2.8: below it, upstreams only differ in speed.
const slowBucketDistance = 6;
// Below this, differences are noise of the hosts and not a fault.
const leastSlowBoundMs = 5;
const leastAnswersForBound = 20;
// Less traffic than this in a window says nothing about the share of an upstream.
const leastWindowAnswers = 0.5;
// Bounds the time that a suspect takes to clear itself where the floor kept it in use.
const highestScore = 1.5;

/** What the pooled detector needs. */
export interface PooledDetectorOptions {
  readonly settings: DetectionSettings;
}

interface CountedEvidence {
  readonly evidence: ReporterEvidence;
  readonly counts: UpstreamEvidence;
  readonly statistics: UpstreamStatistics;
  readonly slow: number;
  readonly good: number;
}

type TestName = 'failed' | 'slow';

interface Shares {
  readonly healthy: number;
  readonly gray: number;
}

function takeLowerMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor((values.length - 1) / 2)] ?? 0;
}

/**
 * Tests the pooled evidence of all reporters with a sequential likelihood ratio per upstream, on
 * failures and on slow answers. What is normal is the median of the other upstreams at the same
 * time, so a fault that all share makes none gray.
 */
export default class PooledDetector implements Detector {
  private readonly settings: DetectionSettings;

  private readonly upstreams = new Map<string, UpstreamStatistics>();

  private readonly history = new ReporterHistory();

  private pending: ReporterEvidence[] = [];

  private lastRound: number | undefined;

  private lastBounds = 0;

  private serviceBucket: number | undefined;

  private reporterCap = 0;

  constructor({ settings }: PooledDetectorOptions) {
    this.settings = settings;
    this.reporterCap = settings.threshold;
  }

  get slowBoundMs(): number | undefined {
    return this.serviceBucket === undefined ? undefined : getBucketEdge(this.serviceBucket);
  }

  recordEvidence(evidence: ReporterEvidence): void {
    this.pending.push(evidence);
  }

  listSuspects({ now, warming }: DetectionRound): readonly Suspect[] {
    this.dropOld(now);
    const counted = this.takePending(now);
    counted
      .reduce((entries, entry) => {
        const name = entry.counts.upstream;
        return entries.set(name, [...(entries.get(name) ?? []), entry]);
      }, new Map<string, CountedEvidence[]>())
      .forEach((entries, upstream) => {
        this.applyTest('failed', upstream, entries, now);
        if (!warming.has(upstream)) this.applyTest('slow', upstream, entries, now);
      });
    return [...this.upstreams].flatMap(([upstream, statistics]) =>
      this.isSuspect(upstream, statistics)
        ? [{ upstream, severity: this.computeSeverity(statistics) }]
        : [],
    );
  }

  resetUpstream(upstream: string): void {
    this.upstreams.get(upstream)?.reset();
  }

  private takePending(now: number): readonly CountedEvidence[] {
    const { pending } = this;
    this.pending = [];
    return pending.flatMap((evidence) =>
      evidence.upstreams.map((counts) => this.countEvidence(evidence, counts, now)),
    );
  }

  private countEvidence(
    evidence: ReporterEvidence,
    counts: UpstreamEvidence,
    now: number,
  ): CountedEvidence {
    const { upstream, failed, overdue, latencies, lateLatencies } = counts;
    const { reporter, failureDomain } = evidence;
    const statistics = this.upstreams.get(upstream) ?? new UpstreamStatistics();
    this.upstreams.set(upstream, statistics);
    let slow = overdue;
    let good = 0;
    readBucketCounts(latencies, (bucket, count) => {
      good += count;
      if (statistics.slowBucket !== undefined && bucket >= statistics.slowBucket) slow += count;
    });
    statistics.latencies.addCounts(latencies);
    statistics.latencies.addCounts(lateLatencies);
    statistics.failed.addCounts(failed, failed + good);
    statistics.slow.addCounts(slow, overdue + good);
    const total = failed + overdue + good;
    statistics.addDomainAnswers(failureDomain, total);
    this.history.recordAnswers({ reporter, upstream, bad: failed + slow, total, now });
    return { evidence, counts, statistics, slow, good };
  }

  private applyTest(
    test: TestName,
    upstream: string,
    entries: readonly CountedEvidence[],
    now: number,
  ): void {
    const isBad = entries.some((entry) => this.countBad(test, entry) > 0);
    const score = entries[0]?.statistics[test].score;
    if (!score || (!isBad && score.value === 0)) return;
    const shares = this.computeShares(test, this.computeOthersShare(test, upstream));
    entries.forEach((entry) => this.addBadAnswers(test, entry, shares.healthy, now));
    const good = entries.reduce((sum, entry) => sum + this.countGood(test, entry), 0);
    score.dropAmount(good * Math.log((1 - shares.healthy) / (1 - shares.gray)));
    const limit = this.settings.threshold * highestScore;
    if (score.value > limit) score.dropAmount(score.value - limit);
  }

  private addBadAnswers(test: TestName, entry: CountedEvidence, healthy: number, now: number) {
    const bad = this.countBad(test, entry);
    if (bad === 0) return;
    const { statistics, evidence, counts } = entry;
    const { reporter, failureDomain } = evidence;
    const { threshold, domainShare } = this.settings;
    const ownFault = this.history.computeOwnFaultShare(reporter, counts.upstream, now);
    const shares = this.computeShares(test, Math.max(healthy, ownFault));
    statistics[test].score.addEvidence({
      reporter,
      failureDomain,
      amount: bad * Math.log(shares.gray / shares.healthy),
      reporterCap: this.reporterCap,
      domainCap: statistics.hasOtherDomains(failureDomain)
        ? threshold * domainShare
        : threshold * highestScore,
    });
  }

  private countBad(test: TestName, entry: CountedEvidence): number {
    return test === 'failed' ? entry.counts.failed : entry.slow;
  }

  private countGood(test: TestName, entry: CountedEvidence): number {
    return test === 'failed' ? entry.good : entry.good + entry.counts.overdue - entry.slow;
  }

  private computeShares(test: TestName, othersShare: number): Shares {
    const settings: TestSettings = this.settings[test];
    const healthy = Math.min(0.98, Math.max(settings.healthyShare, othersShare));
    const gray = Math.max(settings.grayShare, Math.min(4 * healthy, (1 + healthy) / 2));
    return { healthy, gray: Math.max(gray, (1 + 9 * healthy) / 10) };
  }

  // The median stays right while fewer than half of the other upstreams are gray.
  private computeOthersShare(test: TestName, upstream: string): number {
    const others = this.listOthers(test, upstream);
    return Math.max(
      takeLowerMedian(others.map(({ recent }) => recent.share)),
      takeLowerMedian(others.map(({ longer }) => longer.share)),
    );
  }

  private listOthers(test: TestName, upstream: string): readonly TestStatistics[] {
    return [...this.upstreams].flatMap(([name, statistics]) =>
      name !== upstream && statistics[test].recent.total >= leastWindowAnswers
        ? [statistics[test]]
        : [],
    );
  }

  private isSuspect(upstream: string, statistics: UpstreamStatistics): boolean {
    const tests: readonly TestName[] = ['failed', 'slow'];
    return tests.some((test) => {
      const { score, recent } = statistics[test];
      if (score.value < this.settings.threshold) return false;
      // When all upstreams change at once, the share of the others lags by a few answers; by the
      // time the score is reached, the others show the same share.
      const others = takeLowerMedian(this.listOthers(test, upstream).map((o) => o.recent.share));
      const stands = recent.share >= 2 * others + 0.02 || recent.total < leastWindowAnswers;
      if (!stands) score.reset();
      return stands;
    });
  }

  // Wrong answers do more harm than slow ones.
  private computeSeverity({ failed, slow }: UpstreamStatistics): number {
    return 2 * failed.recent.share + slow.recent.share;
  }

  private dropOld(now: number): void {
    const elapsed = Math.max(0, now - (this.lastRound ?? now));
    this.lastRound = now;
    const keepRecent = 0.5 ** (elapsed / recentHalfLifeMs);
    const keepLonger = 0.5 ** (elapsed / longerHalfLifeMs);
    const keepScore = 0.5 ** (elapsed / scoreHalfLifeMs);
    this.upstreams.forEach(({ failed, slow }) => {
      [failed, slow].forEach((test) => {
        test.recent.dropOld(keepRecent);
        test.longer.dropOld(keepLonger);
        test.score.dropOld(keepScore);
      });
    });
    if (now - this.lastBounds >= boundIntervalMs) this.updateBounds(now);
  }

  private updateBounds(now: number): void {
    const keep = 0.5 ** (Math.min(60_000, now - this.lastBounds) / latencyHalfLifeMs);
    this.lastBounds = now;
    const pool = new LatencyHistogram();
    this.upstreams.forEach((statistics, name) => {
      statistics.dropOldLatencies(keep);
      if (statistics.latencies.total < 1e-6) this.upstreams.delete(name);
      pool.mergeHistogram(statistics.latencies, 1);
    });
    this.upstreams.forEach((statistics) => {
      const others = new LatencyHistogram();
      others.mergeHistogram(pool, 1);
      others.mergeHistogram(statistics.latencies, -1);
      statistics.slowBucket = this.computeSlowBucket(others);
    });
    this.serviceBucket = this.computeSlowBucket(pool);
    this.history.dropIdle(now - reporterIdleMs);
    const reporters = this.history.countReporters(now - activeReporterMs);
    const { threshold, reporterShare } = this.settings;
    this.reporterCap =
      threshold * Math.max(reporterShare, 1 / Math.ceil(Math.max(1, reporters) / 2));
  }

  private computeSlowBucket(latencies: LatencyHistogram): number | undefined {
    const median = latencies.findMedianBucket(leastAnswersForBound);
    if (median === undefined) return undefined;
    return Math.max(median + slowBucketDistance, getLatencyBucket(leastSlowBoundMs));
  }
}
