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
// Seven buckets are a factor between 2.8 and 3.4; an upstream with twice the load is not gray.
const slowBucketDistance = 7;
// Below this, differences are noise of the hosts and not a fault.
const leastSlowBoundMs = 5;
const leastAnswersForBound = 20;
// Less traffic than this in a window says nothing about the share of an upstream.
const leastWindowAnswers = 0.5;
// A failure domain that finds a quarter of the answers bad where others find them good has no
// weight.
const domainFaultFactor = 4;
// A suspect has this many times the bad answers of the others.
const outlierFactor = 3;
const leastOutlierShare = 0.02;
// Where all answer badly, only an upstream that answers hardly anything well stands out.
const commonFaultShare = 0.25;
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
const testNames: readonly TestName[] = ['failed', 'slow'];

interface Shares {
  readonly healthy: number;
  readonly gray: number;
}

// Without the worst quarter the mean stays right while a quarter of the others is gray, and it is
// steadier than a median of small counts.
function computeTrimmedMean(values: readonly number[]): number {
  const kept = Math.max(1, values.length - Math.ceil(values.length / 4));
  const lowest = [...values].sort((a, b) => a - b).slice(0, kept);
  return lowest.reduce((sum, value) => sum + value, 0) / kept;
}

// Share of bad answers from which an upstream stands out from the others.
function computeOutlierBound(others: number): number {
  if (others < commonFaultShare) return outlierFactor * others + leastOutlierShare;
  return 1 - (1 - others) / 4;
}

/**
 * Tests the pooled evidence of all reporters with a sequential likelihood ratio per upstream, on
 * failures and on slow answers. What is normal is the mean of the other upstreams at the same
 * time, so a fault that all share makes none gray.
 */
export default class PooledDetector implements Detector {
  private readonly settings: DetectionSettings;

  private readonly upstreams = new Map<string, UpstreamStatistics>();

  private readonly histories: Readonly<Record<TestName, ReporterHistory>> = {
    failed: new ReporterHistory(),
    slow: new ReporterHistory(),
  };

  private readonly domainHistories: Readonly<Record<TestName, ReporterHistory>> = {
    failed: new ReporterHistory(),
    slow: new ReporterHistory(),
  };

  private pending: ReporterEvidence[] = [];

  private lastRound: number | undefined;

  private lastBounds = 0;

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
    this.pending.push(evidence);
  }

  listSuspects({ now, warming }: DetectionRound): readonly Suspect[] {
    this.dropOld(now);
    const entries = this.takePending(now);
    entries.forEach((ofUpstream, upstream) => {
      this.applyTest('failed', upstream, ofUpstream);
      if (!warming.has(upstream)) this.applyTest('slow', upstream, ofUpstream);
    });
    const suspects: Suspect[] = [];
    this.upstreams.forEach((statistics, upstream) => {
      if (!this.isSuspect(upstream, statistics)) return;
      suspects.push({ upstream, severity: this.computeSeverity(statistics) });
    });
    return suspects;
  }

  resetUpstream(upstream: string): void {
    this.upstreams.get(upstream)?.reset();
  }

  private takePending(now: number): ReadonlyMap<string, readonly CountedEvidence[]> {
    const entries = new Map<string, CountedEvidence[]>();
    this.pending.forEach((evidence) =>
      evidence.upstreams.forEach((counts) => {
        const entry = this.countEvidence(evidence, counts, now);
        const ofUpstream = entries.get(counts.upstream);
        if (ofUpstream) ofUpstream.push(entry);
        else entries.set(counts.upstream, [entry]);
      }),
    );
    this.pending = [];
    return entries;
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
    statistics.addDomainAnswers(failureDomain, failed + overdue + good);
    const failures = { upstream, bad: failed, total: failed + good, now };
    const slowness = { upstream, bad: slow, total: overdue + good, now };
    this.histories.failed.recordAnswers({ reporter, ...failures });
    this.histories.slow.recordAnswers({ reporter, ...slowness });
    this.domainHistories.failed.recordAnswers({ reporter: failureDomain, ...failures });
    this.domainHistories.slow.recordAnswers({ reporter: failureDomain, ...slowness });
    return { evidence, counts, statistics, slow, good };
  }

  private applyTest(test: TestName, upstream: string, entries: readonly CountedEvidence[]): void {
    const isBad = entries.some((entry) => this.countBad(test, entry) > 0);
    const score = entries[0]?.statistics[test].score;
    if (!score || (!isBad && score.value === 0)) return;
    const shares = this.computeShares(test, this.computeOthersShare(test, upstream));
    entries.forEach((entry) => this.addBadAnswers(test, entry, shares.healthy));
    const good = entries.reduce((sum, entry) => sum + this.countGood(test, entry), 0);
    score.dropAmount(good * Math.log((1 - shares.healthy) / (1 - shares.gray)));
    const limit = this.settings.threshold * highestScore;
    if (score.value > limit) score.dropAmount(score.value - limit);
  }

  private addBadAnswers(test: TestName, entry: CountedEvidence, healthy: number): void {
    const bad = this.countBad(test, entry);
    if (bad === 0) return;
    const { statistics, evidence, counts } = entry;
    const { reporter, failureDomain } = evidence;
    const { threshold, domainShare } = this.settings;
    const ownFault = this.histories[test].computeOwnFaultShare(reporter, counts.upstream);
    const shares = this.computeShares(test, Math.max(healthy, ownFault));
    const domainFault = this.domainHistories[test].computeOwnFaultShare(
      failureDomain,
      counts.upstream,
    );
    const weight = Math.max(0, 1 - domainFaultFactor * Math.max(0, domainFault - healthy));
    statistics[test].score.addEvidence({
      reporter,
      failureDomain,
      amount: weight * bad * Math.log(shares.gray / shares.healthy),
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

  private computeOthersShare(test: TestName, upstream: string): number {
    const others = this.listOthers(test, upstream);
    return Math.max(
      computeTrimmedMean(others.map(({ recent }) => recent.share)),
      computeTrimmedMean(others.map(({ longer }) => longer.share)),
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
    return testNames.some((test) => {
      const { score, recent } = statistics[test];
      if (score.value < this.settings.threshold) return false;
      // When all upstreams change at once, the share of the others lags by a few answers; by the
      // time the score is reached, the others show the same share.
      const others = computeTrimmedMean(this.listOthers(test, upstream).map((o) => o.recent.share));
      const bound = computeOutlierBound(others);
      const stands = recent.share >= bound || recent.total < leastWindowAnswers;
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
    this.upstreams.forEach((statistics) =>
      testNames.forEach((test) => {
        const { recent, longer, score } = statistics[test];
        recent.dropOld(keepRecent);
        longer.dropOld(keepLonger);
        score.dropOld(keepScore);
      }),
    );
    testNames.forEach((test) => {
      this.histories[test].dropOld(now);
      this.domainHistories[test].dropOld(now);
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
    const bucket = this.computeSlowBucket(pool);
    this.serviceBoundMs = bucket === undefined ? undefined : getBucketEdge(bucket);
    Object.values(this.histories).forEach((history) => history.dropIdle(now - reporterIdleMs));
    const reporters = this.histories.failed.countReporters(now - activeReporterMs);
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
