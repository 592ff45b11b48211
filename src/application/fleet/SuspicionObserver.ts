import type { SuspicionKind } from '../../domain/detection/SuspicionTracker.ts';
import type SuspicionTracker from '../../domain/detection/SuspicionTracker.ts';
import type AttemptObservation from '../../domain/requests/AttemptObservation.ts';
import type { AnswerClass } from '../../domain/requests/AttemptObservation.ts';
import type Clock from '../../ports/Clock.ts';
import type AttemptObserver from '../requests/AttemptObserver.ts';
import type { StartedAttempt } from '../requests/AttemptObserver.ts';
import type DomainExchange from './DomainExchange.ts';

const watchIntervalMs = 200;
// A request that is open for this multiple of the usual time is overdue. One in a hundred answers
// of healthy upstreams takes three to five times as long as usual.
const overdueFactor = 3.5;
const minOverdueMs = 500;
// Before the first answer of a service, a request is overdue after this time, which healthy
// upstreams seldom need.
const defaultOverdueMs = 2000;
// Weight of the newest answer in the moving averages of a service.
const smoothingFactor = 0.1;

const kinds: Readonly<Record<AnswerClass, SuspicionKind | undefined>> = {
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

interface WatchedRequest extends StartedAttempt {
  isOverdue: boolean;
}

function recordUsual(usual: Map<string, number>, service: string, newest: number): void {
  const before = usual.get(service) ?? newest;
  usual.set(service, before + smoothingFactor * (newest - before));
}

/** Derives suspicions of upstreams from the results of attempts and from overdue requests. */
export default class SuspicionObserver implements AttemptObserver {
  private readonly options: SuspicionObserverOptions;

  private readonly open = new Map<string, WatchedRequest>();

  /** Moving average of the latency of good answers by service, in milliseconds. */
  private readonly usualMs = new Map<string, number>();

  private readonly usualBytes = new Map<string, number>();

  constructor(options: SuspicionObserverOptions) {
    this.options = options;
  }

  recordStart(request: StartedAttempt): void {
    this.open.set(request.requestId, { ...request, isOverdue: false });
  }

  recordEnd(requestId: string, observation: AttemptObservation): void {
    const { suspicions } = this.options;
    const { upstream, service, answerClass, startedAt, endedAt } = observation;
    this.open.delete(requestId);
    // A timeout that a caller's short deadline caused is not evidence against the upstream.
    const isTooShort =
      answerClass === 'timed_out' && !this.isOverdue({ service, startedAt }, endedAt);
    const kind = isTooShort ? undefined : kinds[answerClass];
    if (kind) this.reportSuspicion(upstream, kind, requestId);
    if (answerClass !== 'good') return;
    const isRecovery = suspicions.recordSuccess(upstream, startedAt, endedAt);
    if (isRecovery) this.options.exchange.reportRecovery(upstream);
    recordUsual(this.usualBytes, service, observation.answerBytes);
    const tookMs = endedAt - startedAt;
    recordUsual(this.usualMs, service, tookMs);
  }

  /** Moving average of the size of good answers, in bytes; undefined before the first one. */
  readUsualBytes(service: string): number | undefined {
    return this.usualBytes.get(service);
  }

  /** Reports overdue requests until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await clock.sleepUntil(clock.now() + watchIntervalMs, signal);
      const now = clock.now();
      [...this.open.values()]
        .filter((request) => !request.isOverdue && this.isOverdue(request, now))
        .forEach((request) => {
          request.isOverdue = true;
          this.reportSuspicion(request.upstream, 'overdue', request.requestId);
        });
    }
  }

  private isOverdue(
    { service, startedAt }: Pick<StartedAttempt, 'service' | 'startedAt'>,
    now: number,
  ): boolean {
    const usual = this.usualMs.get(service);
    // Before the first answer of the service, the usual time is unknown.
    if (usual === undefined) return now - startedAt > defaultOverdueMs;
    return now - startedAt > Math.max(minOverdueMs, overdueFactor * usual);
  }

  private reportSuspicion(upstream: string, kind: SuspicionKind, requestId: string): void {
    const incarnation = this.options.findIncarnation(upstream);
    this.options.exchange.reportSuspicion({ upstream, incarnation, kind }, requestId);
  }
}
