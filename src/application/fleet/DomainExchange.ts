import type { Suspicion, SuspicionKind } from '../../domain/detection/SuspicionTracker.ts';
import type SuspicionTracker from '../../domain/detection/SuspicionTracker.ts';
import { emptyDomainMessage, hasReports } from '../../domain/fleet/DomainMessage.ts';
import type { DomainMessage } from '../../domain/fleet/DomainMessage.ts';
import type { RetryBalance } from '../../domain/requests/RetryAccount.ts';
import RateLimit from '../../domain/statements/RateLimit.ts';
import type UpstreamIncarnation from '../../domain/statements/UpstreamIncarnation.ts';
import type { StatedLimit } from '../../domain/statements/UpstreamLimits.ts';
import type UpstreamStatements from '../../domain/statements/UpstreamStatements.ts';
import type { QuotaReport } from '../../domain/teams/QuotaCounts.ts';
import type Clock from '../../ports/Clock.ts';
import type DatagramSocket from '../../ports/DatagramSocket.ts';
import type Log from '../../ports/Log.ts';
import Notifier from '../tasks/Notifier.ts';
import type QuotaLedger from '../teams/QuotaLedger.ts';
import DomainPeers from './DomainPeers.ts';
import DomainReceiver from './DomainReceiver.ts';
import DomainReports from './DomainReports.ts';
import type { ReportedLoad } from './DomainReports.ts';
import PeerActivities from './PeerActivities.ts';
import type { PeerRetryBalance } from './PeerActivities.ts';
import ReportRouting from './ReportRouting.ts';
import type RetryLedger from './RetryLedger.ts';
import RetryLoans from './RetryLoans.ts';
import UnsentChanges from './UnsentChanges.ts';

// An upstream with at least this many open requests is busy: half of the slots of a typical
// upstream.
const busyThreshold = 2;
// Open requests and retries are sent again at this interval, in case a datagram was lost.
const repeatMs = 1000;
// Each change goes to every other host of the failure domain, so without a limit the traffic of a
// host grows with the number of hosts times their load. Most of the 17 KB/s that a host may spend
// for control.
const maxBytesPerSecond = 14_000;
const burstMs = 250;
// The changes of one message to all peers have about this many bytes at most; the others wait for
// the next message.
const maxBytesPerMessage = 7500;
// Typical size of an upstream in a message.
const upstreamBytes = 25;
// The same for a team. Counts of teams take up at most half of a message.
const teamBytes = 30;
// Suspicions that alone show a bad upstream, and what upstreams state, may use the bytes of this
// time in advance.
const urgentAdvanceMs = 500;
// A host that starts asks this many peers for their suspicions. All peers know nearly the same, but
// many of them may be starting too.
const askedPeers = 8;
const urgentKinds: ReadonlySet<SuspicionKind> = new Set(['broken', 'hanging', 'misplaced']);

/** Options of the exchange. */
export interface DomainExchangeOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly socket: DatagramSocket;
  readonly ownAddress: string;
  /** Addresses of the other entry hosts of the failure domain. */
  readonly listPeers: () => readonly string[];
  /**
   * Address of the control host that relays suspicions to other failure domains and sums up the
   * reports of a large one.
   */
  readonly findRelay: () => string | undefined;
  readonly suspicions: SuspicionTracker;
  readonly statements: UpstreamStatements;
  readonly ledger: RetryLedger;
  /** Counts no requests of teams unless set. */
  readonly quotas?: QuotaLedger | undefined;
  /** Most entry hosts that the failure domain has had. */
  readonly countHosts: () => number;
  /** Called with the most entry hosts that another host has known in the failure domain. */
  readonly onDomainSize: (hosts: number) => void;
}

/**
 * Exchanges datagrams between the entry hosts of one failure domain: open requests, retries,
 * reported loads, statements of upstreams, suspicions and recoveries. In a large failure domain, a
 * control host sums up all but what must not wait; without one, each host tells all others.
 * Sends a bounded number of bytes: with more hosts or more load, messages are fewer and hold more
 * changes.
 */
export default class DomainExchange {
  private readonly options: DomainExchangeOptions;

  private readonly ownInFlight = new Map<string, number>();

  private readonly peers = new PeerActivities();

  private readonly unsent = new UnsentChanges();

  private readonly reports = new DomainReports();

  private readonly routing: ReportRouting;

  private readonly receiver: DomainReceiver;

  private readonly others: DomainPeers;

  private readonly loans: RetryLoans;

  private readonly sendLimit = new RateLimit({ unitsPerSecond: maxBytesPerSecond, burstMs });

  private readonly notifier: Notifier;

  /** Instant at which the changes since the last message are due to be sent. */
  private dueAt = Infinity;

  /** Whether the next message repeats the counts of teams. */
  private repeatsTeams = false;

  /** Instant of the last message to the hub or to all hosts. */
  private reportedAt = -Infinity;

  /** Silence of the hub after which the other hosts were told that this one runs. */
  private presenceSentAt = -Infinity;

  constructor(options: DomainExchangeOptions) {
    this.options = options;
    const { clock, ownAddress, findRelay, listPeers, ledger } = options;
    this.notifier = new Notifier(clock);
    this.routing = new ReportRouting({ clock, findRelay, countHosts: () => listPeers().length });
    this.others = new DomainPeers({ ownAddress, listAddresses: listPeers });
    this.loans = new RetryLoans({
      ...{ clock, ledger, peers: this.others, activities: this.peers },
      sendMessage: (message, address) => this.sendMessage(message, [address]),
    });
    const { reports, peers, routing, loans } = this;
    this.receiver = new DomainReceiver({
      ...{ ...options, reports, peers, routing, loans },
      readInFlight: (upstream) => this.readInFlight(upstream),
      answer: (message, address) => this.sendMessage(message, [address]),
    });
    options.quotas?.setOnDue((dueAt) => this.setDue(dueAt));
    options.socket.onMessage((message, from) => this.receiver.acceptMessage(message, from));
  }

  /** Number of open requests of this host and its peers at an upstream. */
  countInFlight(upstream: string): number {
    const others = this.peers.countInFlight(upstream, this.options.clock.now());
    return (this.ownInFlight.get(upstream) ?? 0) + others;
  }

  /** Retries of the other hosts of the domain for a service. */
  readRetries(service: string): PeerRetryBalance {
    return this.peers.readRetries(service, this.options.clock.now());
  }

  /** Asks other hosts of the domain for what this host lacks for one retry of a service. */
  borrowRetry(service: string): Promise<void> {
    return this.loans.borrowRetry(service);
  }

  recordStart(upstream: string): void {
    const { statements, clock } = this.options;
    this.ownInFlight.set(upstream, (this.ownInFlight.get(upstream) ?? 0) + 1);
    this.announceChange(upstream);
    if (!statements.hasLimit(upstream)) return;
    statements.recordRequests(upstream, 1, clock.now());
    this.unsent.addLimitedRequest(upstream);
    this.sendEarly(true);
  }

  recordEnd(upstream: string): void {
    const remaining = (this.ownInFlight.get(upstream) ?? 1) - 1;
    if (remaining > 0) this.ownInFlight.set(upstream, remaining);
    else this.ownInFlight.delete(upstream);
    this.announceChange(upstream);
  }

  /** Latest load that an upstream reported to this or another host of the domain. */
  readLoad(upstream: string): ReportedLoad | undefined {
    return this.reports.readLoad(upstream);
  }

  /** Records a load that an upstream reported to this host and sends it with the next message. */
  reportLoad(upstream: string, load: number): void {
    const { reports } = this;
    const { filter } = this.routing;
    const now = this.options.clock.now();
    if (filter.mayReportLoad(load, reports.estimateLoad(upstream, now))) {
      this.unsent.addLoad(upstream, load);
      this.setDue(now + filter.idleBatchMs);
    }
    reports.setLoad(upstream, load, now);
  }

  /**
   * Records the limit that an upstream stated to this host in an answer to a request that was sent
   * at `sentAt`, or that it stated none. A change is sent as soon as the limit of bytes allows.
   */
  reportLimit(stated: StatedLimit, sentAt: number): void {
    const { clock, statements, log } = this.options;
    const now = clock.now();
    if (!statements.recordLimit(stated, sentAt, now)) return;
    log.info('detection: an upstream changed its limit', { ...stated });
    this.unsent.addLimit(stated);
    this.sendEarly(true);
  }

  /**
   * Records that an upstream stated to this host that it is leaving, and sends it as soon as the
   * limit of bytes allows.
   */
  reportLeaving(upstream: UpstreamIncarnation): void {
    const { statements, log } = this.options;
    if (!statements.recordLeaving(upstream)) return;
    log.info('detection: an upstream is leaving', { ...upstream });
    this.unsent.addLeaving(upstream);
    this.sendEarly(true);
  }

  /**
   * Reports a recovery with the next message: the upstream sent a good answer to a request that was
   * sent after all suspicions of the upstream itself.
   */
  reportRecovery(upstream: string): void {
    const now = this.options.clock.now();
    const isSuspected = this.options.suspicions.isSuspected(upstream, now);
    const { filter } = this.routing;
    const reportedAt = this.reports.getRecoveredAt(upstream);
    if (!filter.mayReportRecovery({ isSuspected, reportedAt, now })) return;
    this.reports.setRecovered(upstream, now);
    this.unsent.addRecovery(upstream);
    this.setDue(now + filter.idleBatchMs);
  }

  /**
   * Records a suspicion that this host observed. A new one is sent immediately, or as soon as the
   * limit of bytes allows.
   */
  reportSuspicion(suspicion: Suspicion, requestId: string): void {
    const { clock, suspicions, log } = this.options;
    const now = clock.now();
    const isNew = suspicions.addSuspicion(suspicion, now);
    log.info('detection: an upstream looks bad', { ...suspicion, requestId, isNew });
    if (!isNew) return;
    this.unsent.addSuspicion(suspicion);
    this.sendEarly(urgentKinds.has(suspicion.kind));
  }

  /**
   * Asks some peers which upstreams they suspect, which have a limit and which are leaving, and how
   * many retries they have left; called once this host has their addresses.
   */
  requestSuspicions(): void {
    const asked = this.others.listFrom(0).slice(0, askedPeers);
    this.sendMessage({ ...emptyDomainMessage, asksSuspicions: true }, asked);
  }

  /** Sends changes, and repeats open requests and retries, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, suspicions, statements } = this.options;
    signal.addEventListener('abort', () => this.notifier.notify(), { once: true });
    let repeatAt = clock.now() + repeatMs;
    while (!signal.aborted) {
      const sendAt = Math.max(this.dueAt, this.sendLimit.freeAt);
      await this.notifier.waitUntil(Math.min(sendAt, repeatAt, this.presenceAt));
      const now = clock.now();
      if (now >= repeatAt) {
        repeatAt = now + repeatMs;
        this.addRepeated();
        statements.prune(now);
        suspicions.pruneIdle(now);
        this.reports.pruneOld(now);
      }
      if (now >= this.presenceAt) this.sendPresence();
      if (now >= Math.max(this.dueAt, this.sendLimit.freeAt)) this.sendChanges();
    }
  }

  /**
   * Sends changes that other hosts need at once: immediately, or as soon as the limit of bytes
   * allows. Urgent ones may use bytes in advance.
   */
  private sendEarly(isUrgent: boolean): void {
    const now = this.options.clock.now();
    const { freeAt } = this.sendLimit;
    if (now >= freeAt) this.sendChanges();
    else if (isUrgent && now >= freeAt - urgentAdvanceMs) this.sendUrgent();
    else this.setDue(now);
  }

  private addRepeated(): void {
    const { routing, reports } = this;
    const unusedHub = routing.findUnusedHub();
    // A hub sends digests to the hosts that report to it.
    if (unusedHub !== undefined) {
      const retries = this.options.ledger.readBalances();
      const teams = this.options.quotas?.isActive ? { rows: {} } : undefined;
      this.sendMessage({ ...emptyDomainMessage, retries, teams }, [unusedHub]);
    }
    if (this.options.quotas?.isActive) {
      const now = this.options.clock.now();
      this.repeatsTeams = true;
      if (now >= this.reportedAt + repeatMs) this.setDue(now);
    }
    const { filter } = routing;
    const repeated = [...this.ownInFlight.keys()].filter((upstream) =>
      filter.mayRepeatOpen(reports.readOwnOpen(upstream)),
    );
    if (repeated.length === 0 && routing.findHub() === undefined) return;
    repeated.forEach((upstream) => this.unsent.addInFlight(upstream));
    reports.resetOwnRetries();
    this.setDue(this.options.clock.now());
  }

  private announceChange(upstream: string): void {
    const inDomain = this.countInFlight(upstream);
    const own = this.readInFlight(upstream);
    const reported = this.reports.readOwnOpen(upstream);
    const { filter } = this.routing;
    if (!filter.mayReportOpen({ own, reported, inDomain })) return;
    this.unsent.addInFlight(upstream);
    const isBusy = inDomain >= busyThreshold;
    const { busyBatchMs, idleBatchMs } = filter;
    this.setDue(this.options.clock.now() + (isBusy ? busyBatchMs : idleBatchMs));
  }

  private setDue(dueAt: number): void {
    if (dueAt >= this.dueAt) return;
    this.dueAt = dueAt;
    this.notifier.notify();
  }

  /** Sends what changed since the last message, as much of it as fits into the limit of bytes. */
  private sendChanges(): void {
    const hub = this.routing.findHub();
    if (hub !== undefined) this.sendUrgent();
    const upstreams = this.unsent.takeUpstreams(this.computeMaxUpstreams(hub), (upstream) =>
      this.takeInFlight(upstream),
    );
    this.dueAt = this.unsent.hasUpstreams ? this.options.clock.now() : Infinity;
    const teams = this.takeTeams(hub === undefined ? this.options.listPeers().length : 1);
    const retries = this.takeUnsentRetries();
    const message = { ...emptyDomainMessage, upstreams, retries, teams };
    if (hub === undefined) this.sendWithSuspicions(message);
    else if (hasReports(message)) this.sendMessage(message, [hub]);
  }

  /** Instant at which the other hosts are told that this one runs, because the hub is silent. */
  private get presenceAt(): number {
    const at = this.options.quotas?.presenceAt ?? Infinity;
    return at > this.presenceSentAt ? at : Infinity;
  }

  private sendPresence(): void {
    this.presenceSentAt = this.presenceAt;
    const others = this.others.listOthers();
    this.repeatsTeams = true;
    this.sendMessage({ ...emptyDomainMessage, teams: this.takeTeams(others.length) }, others);
  }

  private takeTeams(receivers: number): QuotaReport | undefined {
    const maxRows = Math.floor(maxBytesPerMessage / 2 / teamBytes / Math.max(1, receivers));
    const isRepeat = this.repeatsTeams;
    this.repeatsTeams = false;
    this.reportedAt = this.options.clock.now();
    return this.options.quotas?.takeReport({ isRepeat, maxRows: Math.max(1, maxRows) });
  }

  /** Sends only suspicions and what other hosts need to keep to what upstreams state. */
  private sendUrgent(): void {
    const upstreams = this.unsent.takeUrgent((upstream) => this.takeInFlight(upstream));
    this.sendWithSuspicions({ ...emptyDomainMessage, upstreams });
  }

  /** Open requests of this host at an upstream, which are about to be reported. */
  private takeInFlight(upstream: string): number {
    const count = this.readInFlight(upstream);
    this.reports.setOwnOpen(upstream, count);
    return count;
  }

  private readInFlight(upstream: string): number {
    return this.ownInFlight.get(upstream) ?? 0;
  }

  private computeMaxUpstreams(hub: string | undefined): number {
    const receivers = hub === undefined ? this.options.listPeers().length : 1;
    const messageBytes = maxBytesPerMessage / Math.max(1, receivers);
    return Math.max(1, Math.floor(messageBytes / upstreamBytes));
  }

  /** Sends the new suspicions, with the rest of the message, to all other hosts. */
  private sendWithSuspicions(message: DomainMessage): void {
    const suspicions = this.unsent.takeSuspicions();
    if (suspicions.length === 0 && !hasReports(message)) return;
    this.sendMessage({ ...message, suspicions }, this.others.listOthers());
    const relay = suspicions.length > 0 ? this.options.findRelay() : undefined;
    if (relay !== undefined) this.sendMessage({ ...emptyDomainMessage, suspicions }, [relay]);
  }

  private takeUnsentRetries(): Readonly<Record<string, RetryBalance>> {
    const unsent = Object.entries(this.options.ledger.readBalances()).filter(([service, balance]) =>
      this.reports.hasChangedRetries(service, balance),
    );
    unsent.forEach(([service, balance]) => this.reports.setOwnRetries(service, balance));
    return Object.fromEntries(unsent);
  }

  private sendMessage(message: DomainMessage, addresses: readonly string[]): void {
    const { socket, clock } = this.options;
    this.sendLimit.takeUnits(socket.sendMessage(message, addresses), clock.now());
  }
}
