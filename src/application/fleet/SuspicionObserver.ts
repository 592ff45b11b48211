import LatencyEstimate from '../../domain/detection/LatencyEstimate.ts';
import type { SuspicionKind } from '../../domain/detection/SuspicionTracker.ts';
import type SuspicionTracker from '../../domain/detection/SuspicionTracker.ts';
import type AttemptObservation from '../../domain/requests/AttemptObservation.ts';
import type { AnswerClass } from '../../domain/requests/AttemptObservation.ts';
import type Clock from '../../ports/Clock.ts';
import type AttemptObserver from '../requests/AttemptObserver.ts';
import type { StartedAttempt } from '../requests/AttemptObserver.ts';
import Notifier from '../tasks/Notifier.ts';
import type DomainExchange from './DomainExchange.ts';

// Before the first good answer to an operation, a request is overdue after this time, which healthy
// upstreams seldom need.
const defaultLongMs = 2000;
// A request that is answered after more than this multiple of the time after which it is overdue
// counts as one without an answer.
const lateFactor = 2;
// A host whose timers are later than this lacks processor time or was suspended, so that open
// requests show nothing about their upstreams.
const maxTimerDelayMs = 150;
// Share of overdue requests that got no answer in time: before any is known, the weight of the
// newest one, and from which on an overdue request shows that its upstream hangs.
const assumedUnansweredShare = 0.5;
const unansweredWeight = 0.2;
const hangingShare = 0.5;
// Weight of the newest answer in the moving average of sizes.
const sizeWeight = 0.1;

const suspicionKinds: Readonly<Record<AnswerClass, SuspicionKind | undefined>> = {
  good: undefined,
  failed: 'faulty',
  reset: 'broken',
  truncated: 'broken',
  mismatched: 'broken',
  timed_out: 'silent',
  unreachable: 'unreachable',
  shed: undefined,
  misplaced: 'misplaced',
  cancelled: undefined,
};

/** Options of the observer. */
export interface SuspicionObserverOptions {
  readonly clock: Clock;
  readonly suspicions: SuspicionTracker;
  readonly exchange: DomainExchange;
  readonly findIncarnation: (upstream: string) => number;
  /** Whether an upstream should run a request at once; false for all unless set. */
  readonly hasFreeSlot?: (upstream: string) => boolean;
}

interface WatchedAttempt extends StartedAttempt {
  readonly overdueAt: number;
  isOverdue: boolean;
}

function updateAverage(
  averages: Map<string, number>,
  key: string,
  change: { readonly value: number; readonly weight: number; readonly assumed: number },
): void {
  const previous = averages.get(key) ?? change.assumed;
  averages.set(key, previous + change.weight * (change.value - previous));
}

/** Derives suspicions of upstreams from the results of attempts and from overdue requests. */
export default class SuspicionObserver implements AttemptObserver {
  private readonly options: SuspicionObserverOptions;

  private readonly notifier: Notifier;

  private readonly openAttempts = new Map<string, WatchedAttempt>();

  /** By operation. */
  private readonly latencies = new Map<string, LatencyEstimate>();

  /** Moving average of the size of good answers by operation, in bytes. */
  private readonly averageSizes = new Map<string, number>();

  /** Share of overdue requests that got no answer in time, by service. */
  private readonly unansweredShares = new Map<string, number>();

  /** Instant of the last good answer of any upstream. */
  private answeredAt = -Infinity;

  /** Instant until which `run` waits. */
  private wakeAt = Infinity;

  constructor(options: SuspicionObserverOptions) {
    this.options = options;
    this.notifier = new Notifier(options.clock);
  }

  recordStart(attempt: StartedAttempt): void {
    const longMs = this.estimateLongMs(attempt.operation) * attempt.serviceTimes;
    const overdueAt = attempt.startedAt + longMs;
    this.openAttempts.set(attempt.requestId, { ...attempt, overdueAt, isOverdue: false });
    if (overdueAt < this.wakeAt) this.notifier.notify();
  }

  recordEnd(requestId: string, observation: AttemptObservation): void {
    const { upstream, service, answerClass, startedAt, endedAt } = observation;
    const attempt = this.openAttempts.get(requestId);
    const operation = attempt?.operation ?? service;
    const tookMs = endedAt - startedAt;
    const isLong = tookMs > this.estimateLongMs(operation);
    this.openAttempts.delete(requestId);
    if (attempt?.isOverdue) this.recordOverdueEnd(attempt, observation);
    // A timeout that a caller's short deadline caused is not evidence against the upstream.
    const kind =
      answerClass === 'timed_out' && !isLong ? undefined : this.classifyEnd(upstream, answerClass);
    if (kind) this.reportSuspicion(upstream, kind, requestId);
    if (answerClass !== 'good') return;
    this.answeredAt = endedAt;
    const { suspicions, exchange } = this.options;
    const isRecovery = suspicions.recordSuccess(upstream, startedAt, endedAt);
    if (isRecovery) exchange.reportRecovery(upstream);
    const { answerBytes } = observation;
    updateAverage(this.averageSizes, operation, {
      value: answerBytes,
      weight: sizeWeight,
      assumed: answerBytes,
    });
    this.getLatency(operation).recordLatency(tookMs);
  }

  /**
   * Moving average of the size of good answers to an operation, in bytes; undefined before the
   * first one.
   */
  readAverageAnswerBytes(operation: string): number | undefined {
    return this.averageSizes.get(operation);
  }

  /** Time that few good answers to an operation exceed, in milliseconds. */
  estimateLongMs(operation: string): number {
    return this.latencies.get(operation)?.longMs ?? defaultLongMs;
  }

  /** Time that half of the good answers to an operation exceed, in milliseconds; 0 if unknown. */
  estimateTypicalMs(operation: string): number {
    return this.latencies.get(operation)?.typicalMs ?? 0;
  }

  /** Reports overdue requests until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    signal.addEventListener('abort', () => this.notifier.notify(), { once: true });
    while (!signal.aborted) {
      this.wakeAt = this.listWatched().reduce(
        (earliest, { overdueAt }) => Math.min(earliest, overdueAt),
        Infinity,
      );
      await this.notifier.waitUntil(this.wakeAt);
      this.reportOverdue(clock.now());
    }
  }

  // An upstream that refuses whatever its load looks idle, so that it would be chosen for more and
  // more requests. A refusal by a busy upstream says nothing against it.
  private classifyEnd(upstream: string, answerClass: AnswerClass): SuspicionKind | undefined {
    const isUnexplained = answerClass === 'shed' && this.options.hasFreeSlot?.(upstream);
    return isUnexplained ? 'faulty' : suspicionKinds[answerClass];
  }

  private listWatched(): readonly WatchedAttempt[] {
    return [...this.openAttempts.values()].filter(({ isOverdue }) => !isOverdue);
  }

  private reportOverdue(now: number): void {
    this.listWatched()
      .filter(({ overdueAt }) => overdueAt <= now)
      .forEach((attempt) => {
        attempt.isOverdue = true;
        if (now > attempt.overdueAt + maxTimerDelayMs) return;
        this.reportSuspicion(attempt.upstream, this.classifyOverdue(attempt), attempt.requestId);
      });
  }

  // Without answers of other upstreams, the link of this host may be the cause. An upstream that
  // goes on answering may have a long queue.
  private classifyOverdue({ upstream, service, startedAt }: WatchedAttempt): SuspicionKind {
    const isAnswered = this.answeredAt > startedAt;
    const isSilent = !this.options.suspicions.hasSucceededSince(upstream, startedAt);
    const share = this.unansweredShares.get(service) ?? assumedUnansweredShare;
    return isAnswered && isSilent && share >= hangingShare ? 'hanging' : 'overdue';
  }

  private recordOverdueEnd(
    { service, startedAt, overdueAt }: WatchedAttempt,
    { answerClass, endedAt }: AttemptObservation,
  ): void {
    const isLate = endedAt - startedAt > lateFactor * (overdueAt - startedAt);
    updateAverage(this.unansweredShares, service, {
      value: answerClass !== 'good' || isLate ? 1 : 0,
      weight: unansweredWeight,
      assumed: assumedUnansweredShare,
    });
  }

  private getLatency(operation: string): LatencyEstimate {
    const known = this.latencies.get(operation);
    if (known) return known;
    const latency = new LatencyEstimate();
    this.latencies.set(operation, latency);
    return latency;
  }

  private reportSuspicion(upstream: string, kind: SuspicionKind, requestId: string): void {
    const incarnation = this.options.findIncarnation(upstream);
    this.options.exchange.reportSuspicion({ upstream, incarnation, kind }, requestId);
  }
}
