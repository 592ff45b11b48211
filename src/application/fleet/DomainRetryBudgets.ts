import RetryReservation from '../../domain/admission/RetryReservation.ts';
import type { RetryDecision, RetryInputs } from '../../domain/admission/RetryReservation.ts';
import type RequestRank from '../../domain/admission/RequestRank.ts';
import type RetryRank from '../../domain/admission/RetryRank.ts';
import pruneMap from '../../domain/collections/pruneMap.ts';
import type RetryAllowance from '../../domain/requests/RetryAllowance.ts';
import RetryAccount, { sendMs, settleMs } from '../../domain/requests/RetryAccount.ts';
import type { RetryAmount, RetryBalance } from '../../domain/requests/RetryAccount.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import type RetryBudgetSource from '../requests/RetryBudgetSource.ts';
import type { PeerRetryBalance } from './PeerActivities.ts';
import type RetryLedger from './RetryLedger.ts';

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
  /** Whether no process of the fleet has run before, so that none can have used retries. */
  readonly isFirstStart: boolean;
  /** Most entry hosts that the failure domain of this host has had. */
  readonly countHosts: () => number;
  /** What the other entry hosts of the failure domain last reported. */
  readonly readOthers: (service: string) => PeerRetryBalance;
  /** Asks other hosts of the failure domain for what is missing for one retry. */
  readonly borrowRetry: (service: string) => Promise<void>;
}

const round = (value: number): number => Math.round(100 * value) / 100;

/** Creates the log fields for the decision about a request that has a rank. */
function describeDecision({ team, route, use }: RetryRank, decision: RetryDecision) {
  const { isAllowed, reserved, urgentPerSecond } = decision;
  return {
    ...{ use, teamPriority: Number.isFinite(team) ? team : undefined },
    ...{ routePriority: Number.isFinite(route) ? route : undefined, isReserved: !isAllowed },
    ...{ reserved: round(reserved), urgentPerSecond: round(urgentPerSecond) },
  };
}

/**
 * Limits the retries of all entry hosts for each service. Each host has its part, whether it hears
 * the others or not, and the hosts of a failure domain lend each other what they don't need.
 */
export default class DomainRetryBudgets implements RetryBudgetSource, RetryLedger {
  private readonly options: DomainRetryBudgetsOptions;

  private readonly accounts = new Map<string, RetryAccount>();

  /** By service, like the accounts. */
  private readonly reservations = new Map<string, RetryReservation>();

  private readonly opensAt: number;

  constructor(options: DomainRetryBudgetsOptions) {
    this.options = options;
    // What an earlier process of this host used is not known, so its part is closed until all of it
    // has left the window.
    const opensAt = options.clock.now() + options.windowMs + settleMs;
    this.opensAt = options.isFirstStart ? -Infinity : opensAt;
  }

  getBudget(service: string, requestId: string, rank?: RequestRank): RetryAllowance {
    return {
      addRequest: () => this.addRequest(service),
      readScarcity: () => this.readScarcity(service, rank && { ...rank, use: 'in_time' }),
      takeRetry: (use) => this.takeRetry(service, requestId, rank && { ...rank, use }),
    };
  }

  readBalances(): Readonly<Record<string, RetryBalance>> {
    const now = this.options.clock.now();
    pruneMap(this.accounts, (account) => account.isIdle(now));
    pruneMap(this.reservations, (_reservation, service) => !this.accounts.has(service));
    return Object.fromEntries(
      [...this.accounts.keys()].map((service) => [service, this.readBalance(service)]),
    );
  }

  computeMissing(service: string): number {
    return this.getAccount(service).computeMissing(this.ownExtra, this.options.clock.now());
  }

  addCredit(service: string, credit: RetryAmount): void {
    this.getAccount(service).addCredit(credit);
  }

  lendRetries(service: string, retries: number): RetryAmount {
    const { clock } = this.options;
    return this.getAccount(service).lendRetries(retries, this.ownExtra, clock.now());
  }

  /** The part of this host in the retries beyond the share. */
  private get ownExtra(): number {
    const { extra, failureDomains, countHosts } = this.options;
    return extra / (failureDomains * Math.max(1, countHosts()));
  }

  private addRequest(service: string): void {
    const now = this.options.clock.now();
    this.getAccount(service).addRequest(now);
    this.getReservation(service).recordRequest(now);
  }

  private async takeRetry(
    service: string,
    requestId: string,
    rank: RetryRank | undefined,
  ): Promise<number | undefined> {
    const { clock, log, borrowRetry, readOthers } = this.options;
    const { used, left } = this.readBalance(service);
    const others = readOthers(service);
    const decision =
      rank && this.getReservation(service).decideRetry(this.readInputs(service, rank));
    const isAllowed = decision?.isAllowed ?? true;
    const takeOwn = (): boolean =>
      isAllowed && this.getAccount(service).takeRetry(this.ownExtra, clock.now());
    const isOwn = takeOwn();
    // A loan would take what other hosts keep for more urgent requests.
    if (!isOwn && isAllowed) await borrowRetry(service);
    const isTaken = isOwn || takeOwn();
    log.info('requests: a retry was decided', {
      ...{ requestId, service, isTaken, isOwn, used: round(used), left: round(left) },
      ...{ otherLeft: round(others.left), otherHosts: others.hosts },
      ...(rank && decision && describeDecision(rank, decision)),
    });
    return isTaken ? clock.now() + sendMs : undefined;
  }

  private readInputs(service: string, rank: RetryRank): RetryInputs {
    const { clock, readOthers, countHosts } = this.options;
    const own = this.readBalance(service);
    const others = readOthers(service);
    return {
      ...{ rank, now: clock.now(), left: own.left + others.left, used: own.used + others.used },
      // A hub reports as one host what all of them have.
      hosts: others.hosts > 0 ? Math.max(1, countHosts()) : 1,
    };
  }

  private readScarcity(service: string, rank: RetryRank | undefined): number {
    const reservation = this.getReservation(service);
    // A request whose retry is kept for others has none.
    if (rank && !reservation.readDecision(this.readInputs(service, rank)).isAllowed) return 1;
    const own = this.readBalance(service);
    const others = this.options.readOthers(service);
    const used = own.used + others.used;
    const left = own.left + others.left;
    return left < 1 ? 1 : used / (used + left);
  }

  private readBalance(service: string): RetryBalance {
    return this.getAccount(service).readBalance(this.ownExtra, this.options.clock.now());
  }

  private getReservation(service: string): RetryReservation {
    const known = this.reservations.get(service);
    if (known) return known;
    const reservation = new RetryReservation({ share: this.options.share });
    this.reservations.set(service, reservation);
    return reservation;
  }

  private getAccount(service: string): RetryAccount {
    const known = this.accounts.get(service);
    if (known) return known;
    const { share, windowMs } = this.options;
    const account = new RetryAccount({ share, windowMs, opensAt: this.opensAt });
    this.accounts.set(service, account);
    return account;
  }
}
