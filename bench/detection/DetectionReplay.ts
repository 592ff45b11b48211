import type Detector from '../../src/domain/detection/Detector.ts';
import EjectionTracker from '../../src/domain/detection/EjectionTracker.ts';
import { createUpstream } from '../../tests/fixtures/createRecords.ts';
import DetectionTraffic from './DetectionTraffic.ts';
import type { TrafficAnswer, TrafficOptions } from './DetectionTraffic.ts';
import EvidenceTable from './EvidenceTable.ts';
import type { EvidenceKind } from './EvidenceTable.ts';

/** Whether one detector decides on the reports of all hosts, or each host decides alone. */
export type ReplayScope = 'pooled' | 'each_host';

/** Options of a replay. */
export interface ReplayOptions extends TrafficOptions {
  readonly scope: ReplayScope;
  readonly createDetector: () => Detector;
  /** Smallest number of healthy upstreams that ejections may leave. */
  readonly floor: number;
  /** End of the warm-up of new upstreams, in milliseconds since the start, by upstream index. */
  readonly warmUntil?: ReadonlyMap<number, number>;
}

/**
 * An ejection by the coordinator, or by one host that decides alone. `upstream` and `coordinator`
 * are indexes; `at` is in milliseconds since the start.
 */
export interface ReplayEjection {
  readonly upstream: number;
  readonly at: number;
  readonly coordinator: number;
}

const roundIntervalMs = 100;
const reportIntervalMs = 250;
const linkDelayMs = 2;
// Evidence may arrive up to this many rounds (60 s) in the future; later evidence is dropped.
const maxPendingRounds = 600;
const none: readonly number[] = [];
const noWarming: ReadonlySet<string> = new Set();

interface CoordinatorState {
  readonly detector: Detector;
  readonly tracker: EjectionTracker;
  /** Indexes of the ejected upstreams. */
  readonly ejected: Set<number>;
  isActive: boolean;
  /** Whether evidence arrived since the last evaluation. */
  hasNewEvidence: boolean;
}

/**
 * Replays generated traffic against detectors. Evidence reaches a pooled detector with the next
 * report of its host, at the next round of the coordinator. A host that decides alone gets its
 * evidence without that delay.
 */
export default class DetectionReplay {
  readonly ejections: ReplayEjection[] = [];

  /** Maximum number of upstreams that one coordinator ejected at the same time. */
  maxConcurrentEjections = 0;

  private readonly options: ReplayOptions;

  private readonly traffic: DetectionTraffic;

  private readonly coordinators: readonly CoordinatorState[];

  private readonly reportOffsets: readonly number[];

  private readonly names: readonly string[];

  private readonly serving;

  /** Ring buffer of the ids of the evidence that arrives in each of the next rounds. */
  private readonly pendingEvidence: number[][];

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
      hasNewEvidence: false,
    }));
    this.reportOffsets = Array.from(
      { length: options.hosts },
      () => this.traffic.drawUniform() * reportIntervalMs,
    );
    this.names = Array.from({ length: options.upstreams }, (_, index) => `u${index}`);
    this.evidence = new EvidenceTable(options);
    this.serving = this.names.map((upstream) => createUpstream({ upstream }));
    this.pendingEvidence = Array.from({ length: maxPendingRounds }, () => []);
  }

  /** Replays the traffic up to the given time, in milliseconds since the start. */
  runUntil(end: number): void {
    const onAnswer = (answer: TrafficAnswer): void => this.recordAnswer(answer);
    while (this.now < end) {
      const next = this.now + roundIntervalMs;
      this.traffic.drawAnswers(this.now, next, this.listWeights(), onAnswer);
      this.now = next;
      this.runRound();
    }
  }

  /** Lists the times at which each coordinator first ejected the upstream since the given time. */
  listFirstEjections(upstream: number, since: number): readonly number[] {
    const first = new Map<number, number>();
    this.ejections
      .filter((ejection) => ejection.upstream === upstream && ejection.at >= since)
      .forEach(({ coordinator, at }) => first.set(coordinator, first.get(coordinator) ?? at));
    return [...first.values()];
  }

  // An ejection by the coordinator removes all traffic from the upstream. An ejection by a single
  // host is ignored here, because it moves little traffic.
  private listWeights(): readonly number[] {
    const { scope } = this.options;
    if (scope !== 'pooled') return none;
    const ejected = this.coordinators[0]?.ejected;
    if (!ejected || ejected.size === 0) return none;
    return this.names.map((_, index) => (ejected.has(index) ? 0 : 1));
  }

  private recordAnswer(answer: TrafficAnswer): void {
    const { reporter, startedAt, latencyMs, isWrong } = answer;
    const state = this.getCoordinator(reporter);
    if (state.ejected.has(answer.upstream)) return;
    const boundMs = state.detector.slowBoundMs;
    const endedAt = startedAt + latencyMs;
    const overdueAt = boundMs === undefined ? Infinity : startedAt + boundMs;
    // A reporter counts an open request as overdue in the first report after it became overdue.
    const isOverdue = overdueAt < endedAt && this.computeReportTime(reporter, overdueAt) < endedAt;
    if (isOverdue) this.addEvidence(answer, overdueAt, 'overdue');
    const goodKind = isOverdue ? 'late' : 'good';
    this.addEvidence(answer, endedAt, isWrong ? 'failed' : goodKind);
  }

  private getCoordinator(reporter: number): CoordinatorState {
    return this.coordinators[this.options.scope === 'pooled' ? 0 : reporter] as CoordinatorState;
  }

  private computeReportTime(reporter: number, time: number): number {
    if (this.options.scope !== 'pooled') return time;
    const reportOffset = this.reportOffsets[reporter] ?? 0;
    return Math.ceil((time - reportOffset) / reportIntervalMs) * reportIntervalMs + reportOffset;
  }

  private addEvidence(answer: TrafficAnswer, time: number, kind: EvidenceKind): void {
    const { reporter, upstream, latencyMs } = answer;
    const reportAt = this.computeReportTime(reporter, time);
    const arrivesAt = reportAt + (this.options.scope === 'pooled' ? linkDelayMs : 0);
    const roundsAhead = Math.floor((arrivesAt - this.now) / roundIntervalMs);
    if (roundsAhead >= maxPendingRounds) return;
    const slot = Math.floor(this.now / roundIntervalMs + roundsAhead) % maxPendingRounds;
    this.pendingEvidence[slot]?.push(this.evidence.computeId(reporter, upstream, kind, latencyMs));
  }

  private runRound(): void {
    const slot = Math.floor(this.now / roundIntervalMs - 1) % maxPendingRounds;
    const arrived = this.pendingEvidence[slot] ?? [];
    this.pendingEvidence[slot] = [];
    for (const id of arrived) {
      const state = this.getCoordinator(this.evidence.getReporter(id));
      state.hasNewEvidence = true;
      if (!state.ejected.has(this.evidence.getUpstream(id))) {
        state.detector.recordEvidence(this.evidence.getEvidence(id));
      }
    }
    const warming = this.listWarming();
    this.coordinators.forEach((state, coordinator) => {
      // A host that decides alone has no new evidence in a round without answers.
      if (this.coordinators.length > 1 && !state.hasNewEvidence && !state.isActive) return;
      state.hasNewEvidence = false;
      this.updateEjections(state, coordinator, warming);
    });
  }

  private updateEjections(
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
    this.maxConcurrentEjections = Math.max(this.maxConcurrentEjections, ejected.size);
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
