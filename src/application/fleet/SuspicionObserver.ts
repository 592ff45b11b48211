import type { SuspicionKind } from '../../domain/detection/SuspicionTracker.ts';
import type SuspicionTracker from '../../domain/detection/SuspicionTracker.ts';
import type AttemptObservation from '../../domain/requests/AttemptObservation.ts';
import type { AnswerClass } from '../../domain/requests/AttemptObservation.ts';
import type Clock from '../../ports/Clock.ts';
import type AttemptObserver from '../requests/AttemptObserver.ts';
import type { StartedAttempt } from '../requests/AttemptObserver.ts';
import type DomainExchange from './DomainExchange.ts';

const watchIntervalMs = 200;
// A request that is open for longer than this multiple of its service's average latency is overdue.
// One in a hundred answers of healthy upstreams takes three to five times the average.
const overdueFactor = 3.5;
const minOverdueMs = 500;
// Before the first good answer of a service, a request is overdue after this time, which healthy
// upstreams seldom need.
const defaultOverdueMs = 2000;
// Weight of the newest answer in the moving averages of a service.
const smoothingFactor = 0.1;

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
}

interface WatchedAttempt extends StartedAttempt {
  isOverdue: boolean;
}

function updateAverage(averages: Map<string, number>, service: string, value: number): void {
  const previous = averages.get(service) ?? value;
  averages.set(service, previous + smoothingFactor * (value - previous));
}

/** Derives suspicions of upstreams from the results of attempts and from overdue requests. */
export default class SuspicionObserver implements AttemptObserver {
  private readonly options: SuspicionObserverOptions;

  private readonly openAttempts = new Map<string, WatchedAttempt>();

  /** Moving average of the latency of good answers by service, in milliseconds. */
  private readonly averageLatencies = new Map<string, number>();

  private readonly averageSizes = new Map<string, number>();

  constructor(options: SuspicionObserverOptions) {
    this.options = options;
  }

  recordStart(attempt: StartedAttempt): void {
    this.openAttempts.set(attempt.requestId, { ...attempt, isOverdue: false });
  }

  recordEnd(requestId: string, observation: AttemptObservation): void {
    const { suspicions } = this.options;
    const { upstream, service, answerClass, startedAt, endedAt } = observation;
    this.openAttempts.delete(requestId);
    // A timeout that a caller's short deadline caused is not evidence against the upstream.
    const isCallerTimeout =
      answerClass === 'timed_out' && !this.isOverdue({ service, startedAt }, endedAt);
    const kind = isCallerTimeout ? undefined : suspicionKinds[answerClass];
    if (kind) this.reportSuspicion(upstream, kind, requestId);
    if (answerClass !== 'good') return;
    const isRecovery = suspicions.recordSuccess(upstream, startedAt, endedAt);
    if (isRecovery) this.options.exchange.reportRecovery(upstream);
    updateAverage(this.averageSizes, service, observation.answerBytes);
    const tookMs = endedAt - startedAt;
    updateAverage(this.averageLatencies, service, tookMs);
  }

  /** Moving average of the size of good answers, in bytes; undefined before the first one. */
  readAverageAnswerBytes(service: string): number | undefined {
    return this.averageSizes.get(service);
  }

  /** Reports overdue requests until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await clock.sleepUntil(clock.now() + watchIntervalMs, signal);
      const now = clock.now();
      [...this.openAttempts.values()]
        .filter((attempt) => !attempt.isOverdue && this.isOverdue(attempt, now))
        .forEach((attempt) => {
          attempt.isOverdue = true;
          this.reportSuspicion(attempt.upstream, 'overdue', attempt.requestId);
        });
    }
  }

  /** Time that few good answers of a service exceed, in milliseconds. */
  estimateLongestMs(service: string): number {
    const averageMs = this.averageLatencies.get(service);
    // There is no average before the first good answer of the service.
    if (averageMs === undefined) return defaultOverdueMs;
    return Math.max(minOverdueMs, overdueFactor * averageMs);
  }

  private isOverdue(
    { service, startedAt }: Pick<StartedAttempt, 'service' | 'startedAt'>,
    now: number,
  ): boolean {
    return now - startedAt > this.estimateLongestMs(service);
  }

  private reportSuspicion(upstream: string, kind: SuspicionKind, requestId: string): void {
    const incarnation = this.options.findIncarnation(upstream);
    this.options.exchange.reportSuspicion({ upstream, incarnation, kind }, requestId);
  }
}
