import type Detector from '../../src/domain/detection/Detector.ts';
import EjectionTracker from '../../src/domain/detection/EjectionTracker.ts';
import { createUpstream } from '../../tests/fixtures/createRecords.ts';
import DetectionTraffic from './DetectionTraffic.ts';
import type { TrafficAnswer, TrafficOptions } from './DetectionTraffic.ts';
import EvidenceTable from './EvidenceTable.ts';
import type { EvidenceKind } from './EvidenceTable.ts';

/** Who decides: one detector over the reports of all hosts, or each host for itself. */
export type ReplayScope = 'pooled' | 'each_host';

/** What a replay needs. */
export interface ReplayOptions extends TrafficOptions {
  readonly scope: ReplayScope;
  readonly createDetector: () => Detector;
  readonly floor: number;
  /** Time after the begin in which a fresh upstream is warming, by upstream index. */
  readonly warmUntil?: ReadonlyMap<number, number>;
}

/** An ejection by the coordinator, or by one host that decides alone. */
export interface ReplayEjection {
  readonly upstream: number;
  readonly at: number;
  readonly coordinator: number;
}

const roundMs = 100;
const reportMs = 250;
const linkMs = 2;
// Rounds that an answer can lie ahead: 60 s.
const ringSize = 600;
const none: readonly number[] = [];
const noWarming: ReadonlySet<string> = new Set();

interface CoordinatorState {
  readonly detector: Detector;
  readonly tracker: EjectionTracker;
  /** Ejections by upstream index. */
  readonly ejected: Set<number>;
  isActive: boolean;
  /** Whether evidence arrived since the last round. */
  isReported: boolean;
}

/**
 * Replays generated traffic against detectors. Evidence reaches a pooled detector with the next
 * report of its host and the next round of the coordinator; a host that decides alone has it at
 * once.
 */
export default class DetectionReplay {
  readonly ejections: ReplayEjection[] = [];

  /** Largest number of upstreams that one coordinator had ejected at a time. */
  maxAtOnce = 0;

  private readonly options: ReplayOptions;

  private readonly traffic: DetectionTraffic;

  private readonly coordinators: readonly CoordinatorState[];

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
    const coordinatorCount = options.scope === 'pooled' ? 1 : options.hosts;
    this.coordinators = Array.from({ length: coordinatorCount }, () => ({
      detector: options.createDetector(),
      tracker: new EjectionTracker(),
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
      this.decideRound();
    }
  }

  /** First ejection of an upstream since the instant, for each coordinator that made one. */
  listFirst(upstream: number, since: number): readonly number[] {
    const first = new Map<number, number>();
    this.ejections
      .filter((ejection) => ejection.upstream === upstream && ejection.at >= since)
      .forEach(({ coordinator, at }) => first.set(coordinator, first.get(coordinator) ?? at));
    return [...first.values()];
  }

  // Traffic of a pooled fleet leaves an ejected upstream; a single host's choice moves little.
  private listWeights(): readonly number[] {
    const { scope } = this.options;
    if (scope !== 'pooled') return none;
    const ejected = this.coordinators[0]?.ejected;
    if (!ejected || ejected.size === 0) return none;
    return this.names.map((_, index) => (ejected.has(index) ? 0 : 1));
  }

  private sendAnswer(answer: TrafficAnswer): void {
    const { reporter, startedAt, latencyMs, isWrong } = answer;
    const state = this.getCoordinator(reporter);
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

  private getCoordinator(reporter: number): CoordinatorState {
    return this.coordinators[this.options.scope === 'pooled' ? 0 : reporter] as CoordinatorState;
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

  private decideRound(): void {
    const slot = Math.floor(this.now / roundMs - 1) % ringSize;
    const arrived = this.ring[slot] ?? [];
    this.ring[slot] = [];
    for (const number of arrived) {
      const state = this.getCoordinator(this.evidence.getReporter(number));
      state.isReported = true;
      if (!state.ejected.has(this.evidence.getUpstream(number))) {
        state.detector.recordEvidence(this.evidence.getEvidence(number));
      }
    }
    const warming = this.listWarming();
    this.coordinators.forEach((state, coordinator) => {
      // A host that decides alone learns nothing new in a round without answers.
      if (this.coordinators.length > 1 && !state.isReported && !state.isActive) return;
      state.isReported = false;
      this.decideHost(state, coordinator, warming);
    });
  }

  private decideHost(
    state: CoordinatorState,
    coordinator: number,
    warming: ReadonlySet<string>,
  ): void {
    const { now } = this;
    const outliers = state.detector.listOutliers({ now, warming });
    if (outliers.length === 0 && !state.isActive) return;
    const decision = state.tracker.decideEjections({
      now,
      outliers,
      serving: this.serving,
      floor: this.options.floor,
      latestDeadline: now + 2500,
    });
    const ejected = new Set(decision.ejections.map(({ upstream }) => Number(upstream.slice(1))));
    ejected.forEach((upstream) => {
      if (!state.ejected.has(upstream)) this.ejections.push({ upstream, at: now, coordinator });
    });
    this.maxAtOnce = Math.max(this.maxAtOnce, ejected.size);
    state.ejected.clear();
    ejected.forEach((upstream) => state.ejected.add(upstream));
    decision.released.forEach((upstream) => state.detector.resetUpstream(upstream));
    state.isActive = ejected.size > 0 || outliers.length > 0;
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
