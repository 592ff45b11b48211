import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import StopSteps from './StopSteps.ts';
import type {
  ClaimCompletions,
  HostRecordOwner,
  ReadinessSwitch,
  StoppableListener,
} from './ShutdownParts.ts';

// Long enough for several elections and batches of the control group. No caller waits during this
// time, because all of them have been answered.
const claimCompletionTimeoutMs = 10_000;
// A load balancer that sent a connection within this time has not noticed that the host stops. A
// busy one is late by up to a second, the usual time between two probes.
const quietMs = 800;
// Time for the answers to the last requests.
const lastAnswersMs = 1000;

/** Options of a graceful stop. */
export interface ShutdownOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly readiness: ReadinessSwitch;
  /** Listeners that serve callers. */
  readonly listeners: readonly StoppableListener[];
  readonly claims: ClaimCompletions;
  readonly hostRecord: HostRecordOwner;
  /**
   * Time for the platform's load balancer to notice that this host is not ready, in milliseconds.
   */
  readonly stopGraceMs: number;
}

/** Stops an entry host without interrupting a request; see docs/design.md, section 5.1. */
export default class Shutdown {
  private readonly options: ShutdownOptions;

  private readonly steps: StopSteps;

  private stopped: Promise<void> | undefined;

  constructor(options: ShutdownOptions) {
    const { clock, log } = options;
    this.options = options;
    this.steps = new StopSteps({ clock, log, deadline: Infinity });
  }

  /**
   * Resolves when the process may exit. Never rejects. Further calls wait for the same stop, so
   * that a second stop signal does not shorten it.
   */
  stopHost(): Promise<void> {
    this.stopped ??= this.runSteps();
    return this.stopped;
  }

  private async runSteps(): Promise<void> {
    const { steps } = this;
    const { clock, log, readiness, listeners, claims, hostRecord, stopGraceMs } = this.options;
    const answerDeadline = readiness.markStopping();
    const graceDeadline = Math.min(clock.now() + stopGraceMs, answerDeadline);
    const lateDeadline = Math.min(graceDeadline + quietMs, answerDeadline - lastAnswersMs);
    log.info('lifecycle: stopping, /ready answers 503', { graceDeadline, answerDeadline });
    // Busy connections are closed with their next answer. Idle connections are not closed yet,
    // because a request may already be in transit on them.
    listeners.forEach((listener) => listener.startClose());
    await steps.runStep('announcing the stop', () => hostRecord.announceStopping());
    await clock.sleepUntil(graceDeadline);
    await this.waitLastConnection(lateDeadline);
    log.info('lifecycle: accepting no new connections', {
      lateMs: Math.round(clock.now() - graceDeadline),
      sinceConnectionMs: Math.round(clock.now() - this.readLastConnection()),
    });
    await Promise.all(
      listeners.map((listener) =>
        steps.runStep('closing a listener', () => listener.closeListener(answerDeadline)),
      ),
    );
    log.info('lifecycle: every request was answered');
    await steps.runStep('delivering claim completions', () =>
      claims.waitIdle(clock.now() + claimCompletionTimeoutMs),
    );
    await steps.runStep('withdrawing the host record', () => hostRecord.removeRecord());
    log.info('lifecycle: stopped');
  }

  // A connection to a closed listener ends without an answer.
  private async waitLastConnection(lateDeadline: number): Promise<void> {
    const { clock } = this.options;
    const readQuietAt = (): number => Math.min(lateDeadline, this.readLastConnection() + quietMs);
    while (clock.now() < readQuietAt()) await clock.sleepUntil(readQuietAt());
  }

  private readLastConnection(): number {
    return Math.max(...this.options.listeners.map(({ lastConnectionAt }) => lastConnectionAt));
  }
}
