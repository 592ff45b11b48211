import type SuspicionTracker from '../../domain/detection/SuspicionTracker.ts';
import {
  emptyDomainMessage,
  emptyUpstreamActivity,
  hasReports,
} from '../../domain/fleet/DomainMessage.ts';
import type { DomainMessage, UpstreamActivity } from '../../domain/fleet/DomainMessage.ts';
import type UpstreamStatements from '../../domain/statements/UpstreamStatements.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import type QuotaLedger from '../teams/QuotaLedger.ts';
import type DomainReports from './DomainReports.ts';
import type PeerActivities from './PeerActivities.ts';
import type ReportRouting from './ReportRouting.ts';
import type RetryLedger from './RetryLedger.ts';
import type RetryLoans from './RetryLoans.ts';

// A recovery in a digest that was reported within this time may be the one that this host reported.
const ownReportMs = 500;

/** Options of the receiver. */
export interface DomainReceiverOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly suspicions: SuspicionTracker;
  readonly statements: UpstreamStatements;
  readonly reports: DomainReports;
  readonly peers: PeerActivities;
  readonly routing: ReportRouting;
  /** Open requests of this host at an upstream. */
  readonly readInFlight: (upstream: string) => number;
  readonly ledger: RetryLedger;
  readonly loans: RetryLoans;
  /** Counts no requests of teams unless set. */
  readonly quotas?: QuotaLedger | undefined;
  /** Most entry hosts that the failure domain has had. */
  readonly countHosts: () => number;
  /** Called with the most entry hosts that another host has known in the failure domain. */
  readonly onDomainSize: (hosts: number) => void;
  /** Sends a message to the host that asked. */
  readonly answer: (message: DomainMessage, address: string) => void;
}

/** Takes in what the other hosts of a failure domain report. */
export default class DomainReceiver {
  private readonly options: DomainReceiverOptions;

  constructor(options: DomainReceiverOptions) {
    this.options = options;
  }

  /** Takes in a message of another entry host, a hub or a relay. */
  acceptMessage(message: DomainMessage, from: string): void {
    const { clock, suspicions, log } = this.options;
    const now = clock.now();
    if (message.isDigest) this.acceptDigest(message, from, now);
    // A relay is no peer.
    else if (hasReports(message)) this.options.peers.recordMessage(from, message, now);
    message.upstreams.forEach((activity) => this.acceptActivity(activity, message.isDigest, now));
    message.suspicions.forEach((suspicion) => {
      const isNew = suspicions.addSuspicion(suspicion, now, 'other');
      if (isNew) log.info('detection: another host saw a bad upstream', { ...suspicion, from });
    });
    if (message.asksSuspicions) this.answerSuspicions(from, now);
    const { loanRequest, loan, domainSize, teams } = message;
    if (teams && !message.isDigest) this.options.quotas?.acceptReport(teams, from, false);
    if (loanRequest) this.options.loans.acceptRequest(loanRequest, from);
    if (loan) this.options.loans.acceptLoan(loan, from);
    if (domainSize !== undefined) this.options.onDomainSize(domainSize);
  }

  /** Records the reports of the other hosts: those of the digest without those of this host. */
  private acceptDigest(
    { upstreams, retries, teams }: DomainMessage,
    from: string,
    now: number,
  ): void {
    if (!this.options.routing.recordDigest(from)) return;
    if (teams) this.options.quotas?.acceptReport(teams, from, true);
    const othersRetries = Object.entries(retries).map(([service, { used, left }]) => {
      const own = this.options.reports.readOwnRetries(service);
      const others = {
        used: Math.max(0, used - (own?.used ?? 0)),
        left: Math.max(0, left - (own?.left ?? 0)),
      };
      return [service, others] as const;
    });
    const others = {
      ...emptyDomainMessage,
      upstreams: upstreams.map((activity) => {
        const own = this.options.reports.readOwnOpen(activity.upstream);
        return { ...activity, inFlight: Math.max(0, activity.inFlight - own) };
      }),
      retries: Object.fromEntries(othersRetries),
    };
    this.options.peers.resetRetries();
    this.options.peers.recordMessage(from, others, now);
  }

  private acceptActivity(activity: UpstreamActivity, isDigest: boolean, now: number): void {
    const { suspicions, statements, log } = this.options;
    const { upstream, reportedLoad, hasRecovered, limitedRequests, limit } = activity;
    const { leavingIncarnation: incarnation } = activity;
    if (reportedLoad !== undefined) this.options.reports.setLoad(upstream, reportedLoad, now);
    if (
      hasRecovered &&
      !(isDigest && this.options.reports.getRecoveredAt(upstream) > now - ownReportMs)
    ) {
      suspicions.recordRecovery(upstream, now);
      this.options.reports.setRecovered(upstream, now);
    }
    // The sender has checked that the answer is newer than the limit.
    const hasChanged = limit && statements.recordLimit({ upstream, ...limit }, Infinity, now);
    if (hasChanged) {
      log.info('detection: another host reported a limit', { upstream, ...limit });
    }
    if (limitedRequests > 0) statements.recordRequests(upstream, limitedRequests, now);
    if (incarnation !== undefined && statements.recordLeaving({ upstream, incarnation })) {
      log.info('detection: another host reported a leaving upstream', { upstream, incarnation });
    }
  }

  private answerSuspicions(address: string, now: number): void {
    const { statements, ledger, countHosts, quotas } = this.options;
    const suspicions = this.options.suspicions.listSuspicions(now);
    const limits = new Map(
      statements.listLimits().map(({ upstream, ...limit }) => [upstream, limit]),
    );
    const leaving = new Map(
      statements.listLeaving().map(({ upstream, incarnation }) => [upstream, incarnation]),
    );
    const upstreams = [...new Set([...limits.keys(), ...leaving.keys()])].map((upstream) => ({
      ...emptyUpstreamActivity,
      upstream,
      inFlight: this.options.readInFlight(upstream),
      limit: limits.get(upstream),
      leavingIncarnation: leaving.get(upstream),
    }));
    const retries = ledger.readBalances();
    const teams = quotas?.readLevels();
    const answer = { ...emptyDomainMessage, suspicions, upstreams, retries, teams };
    this.options.answer({ ...answer, domainSize: countHosts() }, address);
  }
}
