import type RetryAllowance from '../../domain/requests/RetryAllowance.ts';
import RetryWindow from '../../domain/requests/RetryWindow.ts';
import type { RetryCounts } from '../../domain/requests/RetryWindow.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import type RetryBudgetSource from '../requests/RetryBudgetSource.ts';
import type { PeerRetryCounts } from './PeerActivities.ts';

// The hosts of a failure domain receive each other's retry counts with a delay, so part of the
// budget is kept in reserve.
const usableShare = 0.8;

/** Options of the budgets. */
export interface DomainRetryBudgetsOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Allowed retries per request in any window, summed over all entry hosts. */
  readonly share: number;
  /** Allowed retries beyond the share in any window, summed over all entry hosts. */
  readonly extra: number;
  readonly windowMs: number;
  readonly failureDomains: number;
  /** Requests and retries of the other entry hosts of the failure domain in the newest window. */
  readonly readOtherCounts: (service: string) => PeerRetryCounts;
}

interface CountedRetries {
  readonly own: RetryCounts;
  readonly others: PeerRetryCounts;
  /** Retries taken by the failure domain, as far as this host knows. */
  readonly taken: number;
  /** Retries allowed for the failure domain. */
  readonly allowed: number;
}

/**
 * Limits the retries of all entry hosts for each service. Each failure domain has its part of the
 * budget, which its hosts share.
 */
export default class DomainRetryBudgets implements RetryBudgetSource {
  private readonly options: DomainRetryBudgetsOptions;

  private readonly windows = new Map<string, RetryWindow>();

  constructor(options: DomainRetryBudgetsOptions) {
    this.options = options;
  }

  getBudget(service: string, requestId: string): RetryAllowance {
    const window = this.getWindow(service);
    const { clock } = this.options;
    return {
      addRequest: () => window.addRequest(clock.now()),
      hasRetry: () => this.hasRetry(service),
      readScarcity: () => this.readScarcity(service),
      takeRetry: () => this.takeRetry(service, requestId),
    };
  }

  /** Requests and retries of this host in the newest window, by service. */
  readOwnCounts(): Readonly<Record<string, RetryCounts>> {
    const now = this.options.clock.now();
    const counts = [...this.windows].map(
      ([service, window]) => [service, window.readCounts(now)] as const,
    );
    return Object.fromEntries(counts.filter(([, { requests }]) => requests > 0));
  }

  private takeRetry(service: string, requestId: string): boolean {
    const { clock, log } = this.options;
    const { own, others, taken, allowed } = this.countRetries(service);
    const isTaken = taken + 1 <= allowed;
    if (isTaken) this.getWindow(service).addRetry(clock.now());
    log.info('requests: a retry was decided', {
      ...{ requestId, service, isTaken, allowed: Math.round(10 * allowed) / 10 },
      ownRequests: own.requests,
      ownRetries: own.retries,
      otherRequests: others.requests,
      otherRetries: others.retries,
      otherHosts: others.hosts,
    });
    return isTaken;
  }

  private hasRetry(service: string): boolean {
    const { taken, allowed } = this.countRetries(service);
    return taken + 1 <= allowed;
  }

  private readScarcity(service: string): number {
    const { taken, allowed } = this.countRetries(service);
    return taken + 1 <= allowed ? taken / allowed : 1;
  }

  /** Numbers of retries in the newest window: taken by the failure domain, and allowed for it. */
  private countRetries(service: string): CountedRetries {
    const { clock, share, extra, failureDomains, readOtherCounts } = this.options;
    const own = this.getWindow(service).readCounts(clock.now());
    const others = readOtherCounts(service);
    const allowed = share * (own.requests + others.requests) + extra / failureDomains;
    const taken = own.retries + others.retries;
    return { own, others, taken, allowed: usableShare * allowed };
  }

  private getWindow(service: string): RetryWindow {
    const known = this.windows.get(service);
    if (known) return known;
    const window = new RetryWindow({ windowMs: this.options.windowMs });
    this.windows.set(service, window);
    return window;
  }
}
