import type Detector from '../../src/domain/detection/Detector.ts';
import EjectionLedger from '../../src/domain/detection/EjectionLedger.ts';
import { createUpstream } from '../../tests/fixtures/createRecords.ts';
import DetectionTraffic from './DetectionTraffic.ts';
import type { TrafficAnswer, TrafficOptions } from './DetectionTraffic.ts';
import EvidenceTable from './EvidenceTable.ts';
import type { EvidenceKind } from './EvidenceTable.ts';

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
const none: readonly number[] = [];
const noWarming: ReadonlySet<string> = new Set();

interface JudgeState {
  readonly detector: Detector;
  readonly ledger: EjectionLedger;
  /** Ejections by upstream index. */
  readonly ejected: Set<number>;
  isActive: boolean;
  /** Whether evidence arrived since the last round. */
  isReported: boolean;
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

  private readonly serving;

  /** Numbers of the evidence that arrives in each of the next rounds. */
  private readonly ring: number[][];

  private readonly evidence: EvidenceTable;

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
      isReported: false,
    }));
    this.phases = Array.from({ length: options.hosts }, () => this.traffic.next() * reportMs);
    this.names = Array.from({ length: options.upstreams }, (_, index) => `u${index}`);
    this.evidence = new EvidenceTable(options);
    this.serving = this.names.map((upstream) => createUpstream({ upstream }));
    this.ring = Array.from({ length: ringSize }, () => []);
  }

  /** Runs up to the instant. */
  runUntil(end: number): void {
    const send = (answer: TrafficAnswer): void => this.sendAnswer(answer);
    while (this.now < end) {
      const next = this.now + roundMs;
      this.traffic.drawAnswers(this.now, next, this.listWeights(), send);
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
    const { reporter, startedAt, latencyMs, isWrong } = answer;
    const state = this.getJudge(reporter);
    if (state.ejected.has(answer.upstream)) return;
    const bound = state.detector.slowBoundMs;
    const endedAt = startedAt + latencyMs;
    const overdueAt = bound === undefined ? Infinity : startedAt + bound;
    // The reporter marks an open request as overdue when it reports.
    const isOverdue = overdueAt < endedAt && this.findReport(reporter, overdueAt) < endedAt;
    if (isOverdue) this.sendEvidence(answer, overdueAt, 'overdue');
    const goodKind = isOverdue ? 'late' : 'good';
    this.sendEvidence(answer, endedAt, isWrong ? 'failed' : goodKind);
  }

  private getJudge(reporter: number): JudgeState {
    return this.judges[this.options.scope === 'pooled' ? 0 : reporter] as JudgeState;
  }

  private findReport(reporter: number, time: number): number {
    if (this.options.scope !== 'pooled') return time;
    const phase = this.phases[reporter] ?? 0;
    return Math.ceil((time - phase) / reportMs) * reportMs + phase;
  }

  private sendEvidence(answer: TrafficAnswer, time: number, kind: EvidenceKind): void {
    const { reporter, upstream, latencyMs } = answer;
    const reportAt = this.findReport(reporter, time);
    const arrivesAt = reportAt + (this.options.scope === 'pooled' ? linkMs : 0);
    const ahead = Math.floor((arrivesAt - this.now) / roundMs);
    if (ahead >= ringSize) return;
    const slot = Math.floor(this.now / roundMs + ahead) % ringSize;
    this.ring[slot]?.push(this.evidence.findNumber(reporter, upstream, kind, latencyMs));
  }

  private judgeRound(): void {
    const slot = Math.floor(this.now / roundMs - 1) % ringSize;
    const arrived = this.ring[slot] ?? [];
    this.ring[slot] = [];
    for (const number of arrived) {
      const state = this.getJudge(this.evidence.getReporter(number));
      state.isReported = true;
      if (!state.ejected.has(this.evidence.getUpstream(number))) {
        state.detector.recordEvidence(this.evidence.getEvidence(number));
      }
    }
    const warming = this.listWarming();
    this.judges.forEach((state, judge) => {
      // A host that judges alone learns nothing new in a round without answers.
      if (this.judges.length > 1 && !state.isReported && !state.isActive) return;
      state.isReported = false;
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
    if (!warmUntil) return noWarming;
    return new Set(
      [...warmUntil].flatMap(([upstream, until]) =>
        this.now < until + 2000 ? [this.names[upstream] ?? ''] : [],
      ),
    );
  }
}
