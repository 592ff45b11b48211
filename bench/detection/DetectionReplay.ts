import type Detector from '../../src/domain/detection/Detector.ts';
import type ReporterEvidence from '../../src/domain/detection/Evidence.ts';
import type { UpstreamEvidence } from '../../src/domain/detection/Evidence.ts';
import EjectionLedger from '../../src/domain/detection/EjectionLedger.ts';
import { createUpstream } from '../../tests/fixtures/createRecords.ts';
import DetectionTraffic, { countLatency, domainCount } from './DetectionTraffic.ts';
import type { TrafficAnswer, TrafficOptions } from './DetectionTraffic.ts';

/** Who judges: one detector over the reports of all hosts, or each host for itself. */
export type ReplayScope = 'pooled' | 'each_host';

/** What a replay needs. */
export interface ReplayOptions extends TrafficOptions {
  readonly scope: ReplayScope;
  readonly createDetector: () => Detector;
  readonly floor: number;
  /** Time after the begin in which a fresh upstream is warming, by upstream index. */
  readonly warmUntil?: ReadonlyMap<number, number>;
}

/** An ejection by the judge, or by one host that judges alone. */
export interface ReplayEjection {
  readonly upstream: number;
  readonly at: number;
  readonly judge: number;
}

const roundMs = 100;
const reportMs = 250;
const linkMs = 2;
// Rounds that an answer can lie ahead: 60 s.
const ringSize = 600;
const domains = Array.from({ length: domainCount }, (_, index) => `domain-${index}`);
const none: readonly number[] = [];
const overdue = { failed: 0, overdue: 1, latencies: none, lateLatencies: none };

interface JudgeState {
  readonly detector: Detector;
  readonly ledger: EjectionLedger;
  /** Ejections by upstream index. */
  readonly ejected: Set<number>;
  isActive: boolean;
}

interface Arrival extends ReporterEvidence {
  readonly judge: number;
  readonly index: number;
}

/**
 * Replays generated traffic against detectors. Evidence reaches a pooled detector with the next
 * report of its host and the next round of the judge; a host that judges alone has it at once.
 */
export default class DetectionReplay {
  readonly ejections: ReplayEjection[] = [];

  /** Largest number of upstreams that one judge had ejected at a time. */
  mostAtOnce = 0;

  private readonly options: ReplayOptions;

  private readonly traffic: DetectionTraffic;

  private readonly judges: readonly JudgeState[];

  private readonly phases: readonly number[];

  private readonly names: readonly string[];

  private readonly reporters: readonly string[];

  private readonly serving;

  private readonly ring: Arrival[][];

  private now = 0;

  constructor(options: ReplayOptions) {
    this.options = options;
    this.traffic = new DetectionTraffic(options);
    const judgeCount = options.scope === 'pooled' ? 1 : options.hosts;
    this.judges = Array.from({ length: judgeCount }, () => ({
      detector: options.createDetector(),
      ledger: new EjectionLedger(),
      ejected: new Set(),
      isActive: false,
    }));
    this.phases = Array.from({ length: options.hosts }, () => this.traffic.next() * reportMs);
    this.names = Array.from({ length: options.upstreams }, (_, index) => `u${index}`);
    this.reporters = Array.from({ length: options.hosts }, (_, index) => `entry-${index}`);
    this.serving = this.names.map((upstream) => createUpstream({ upstream }));
    this.ring = Array.from({ length: ringSize }, () => []);
  }

  /** Runs up to the instant. */
  runUntil(end: number): void {
    while (this.now < end) {
      const next = this.now + roundMs;
      for (const answer of this.traffic.drawAnswers(this.now, next, this.listWeights())) {
        this.sendAnswer(answer);
      }
      this.now = next;
      this.judgeRound();
    }
  }

  /** First ejection of an upstream since the instant, for each judge that made one. */
  listFirst(upstream: number, since: number): readonly number[] {
    const first = new Map<number, number>();
    this.ejections
      .filter((ejection) => ejection.upstream === upstream && ejection.at >= since)
      .forEach(({ judge, at }) => first.set(judge, first.get(judge) ?? at));
    return [...first.values()];
  }

  // Traffic of a pooled fleet leaves an ejected upstream; a single host's choice moves little.
  private listWeights(): readonly number[] {
    const { scope } = this.options;
    if (scope !== 'pooled') return none;
    const ejected = this.judges[0]?.ejected;
    if (!ejected || ejected.size === 0) return none;
    return this.names.map((_, index) => (ejected.has(index) ? 0 : 1));
  }

  private sendAnswer(answer: TrafficAnswer): void {
    const judge = this.options.scope === 'pooled' ? 0 : answer.reporter;
    const state = this.judges[judge] as JudgeState;
    if (state.ejected.has(answer.upstream)) return;
    const { startedAt, latencyMs, isWrong } = answer;
    const bound = state.detector.slowBoundMs;
    const endedAt = startedAt + latencyMs;
    const overdueAt = bound === undefined ? Infinity : startedAt + bound;
    // The reporter marks an open request as overdue when it reports.
    const markedAt = this.findReport(answer.reporter, overdueAt);
    const isOverdue = markedAt < endedAt;
    if (isOverdue) this.sendEvidence(answer, judge, markedAt, overdue);
    const latency = isWrong ? none : countLatency(latencyMs);
    this.sendEvidence(answer, judge, this.findReport(answer.reporter, endedAt), {
      failed: isWrong ? 1 : 0,
      overdue: 0,
      latencies: isOverdue ? none : latency,
      lateLatencies: isOverdue ? latency : none,
    });
  }

  private findReport(reporter: number, time: number): number {
    if (this.options.scope !== 'pooled') return time;
    const phase = this.phases[reporter] ?? 0;
    return Math.ceil((time - phase) / reportMs) * reportMs + phase;
  }

  private sendEvidence(
    { reporter, upstream }: TrafficAnswer,
    judge: number,
    reportAt: number,
    counts: Omit<UpstreamEvidence, 'upstream'>,
  ): void {
    const arrivesAt = reportAt + (this.options.scope === 'pooled' ? linkMs : 0);
    const ahead = Math.floor((arrivesAt - this.now) / roundMs);
    if (ahead >= ringSize) return;
    const slot = Math.floor(this.now / roundMs + ahead) % ringSize;
    this.ring[slot]?.push({
      judge,
      index: upstream,
      reporter: this.reporters[reporter] ?? '',
      failureDomain: domains[reporter % domainCount] ?? '',
      upstreams: [{ upstream: this.names[upstream] ?? '', ...counts }],
    });
  }

  private judgeRound(): void {
    const slot = Math.floor(this.now / roundMs - 1) % ringSize;
    const arrived = this.ring[slot] ?? [];
    this.ring[slot] = [];
    const isReported = new Set<number>();
    for (const evidence of arrived) {
      const state = this.judges[evidence.judge] as JudgeState;
      isReported.add(evidence.judge);
      if (!state.ejected.has(evidence.index)) state.detector.recordEvidence(evidence);
    }
    const warming = this.listWarming();
    this.judges.forEach((state, judge) => {
      // A host that judges alone learns nothing new in a round without answers.
      if (this.judges.length > 1 && !isReported.has(judge) && !state.isActive) return;
      this.judgeHost(state, judge, warming);
    });
  }

  private judgeHost(state: JudgeState, judge: number, warming: ReadonlySet<string>): void {
    const { now } = this;
    const suspects = state.detector.listSuspects({ now, warming });
    if (suspects.length === 0 && !state.isActive) return;
    const decision = state.ledger.decideEjections({
      now,
      suspects,
      serving: this.serving,
      floor: this.options.floor,
      latestDeadline: now + 2500,
    });
    const ejected = new Set(decision.ejections.map(({ upstream }) => Number(upstream.slice(1))));
    ejected.forEach((upstream) => {
      if (!state.ejected.has(upstream)) this.ejections.push({ upstream, at: now, judge });
    });
    this.mostAtOnce = Math.max(this.mostAtOnce, ejected.size);
    state.ejected.clear();
    ejected.forEach((upstream) => state.ejected.add(upstream));
    decision.released.forEach((upstream) => state.detector.resetUpstream(upstream));
    state.isActive = ejected.size > 0 || suspects.length > 0;
  }

  private listWarming(): ReadonlySet<string> {
    const { warmUntil } = this.options;
    if (!warmUntil) return new Set();
    return new Set(
      [...warmUntil].flatMap(([upstream, until]) =>
        this.now < until + 2000 ? [this.names[upstream] ?? ''] : [],
      ),
    );
  }
}
