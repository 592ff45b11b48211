import type { Suspicion } from '../../domain/detection/SuspicionTracker.ts';
import type SuspicionTracker from '../../domain/detection/SuspicionTracker.ts';
import type { RetryCounts } from '../../domain/requests/RetryWindow.ts';
import type Clock from '../../ports/Clock.ts';
import type DatagramSocket from '../../ports/DatagramSocket.ts';
import type Log from '../../ports/Log.ts';
import Notifier from '../tasks/Notifier.ts';
import checkDomainMessage from './checkDomainMessage.ts';
import type { HostActivity } from './checkDomainMessage.ts';

// Changes at a busy upstream are sent almost immediately, because other hosts may be about to
// choose the same upstream. The short delay batches the start and the end of requests into one
// message.
const busyBatchMs = 20;
// Changes at other upstreams may wait longer: a host sends only about one request in half a second.
const idleBatchMs = 400;
// An upstream with at least this many open requests is busy: half of the slots of a typical
// upstream.
const busyThreshold = 2;
// While requests are open, the state is sent again at this interval, in case a datagram was lost.
const repeatMs = 1000;
// The open requests of a peer without contact for this long are no longer counted.
const peerTimeoutMs = 2500;
// Far longer than a reported load is meaningful.
const loadRetentionMs = 30_000;

/** Options of the exchange. */
export interface DomainExchangeOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly socket: DatagramSocket;
  readonly ownAddress: string;
  /** Addresses of the other entry hosts of the failure domain. */
  readonly listPeers: () => readonly string[];
  /** Address of the control host that relays suspicions to other failure domains. */
  readonly findRelay: () => string | undefined;
  readonly suspicions: SuspicionTracker;
  /** Requests and retries of this host in the newest window, by service. */
  readonly readRetries: () => Readonly<Record<string, RetryCounts>>;
}

interface PeerActivity extends HostActivity {
  /** Instant at which the peer times out unless it sends another message. */
  readonly until: number;
}

/** A load that an upstream reported. */
export interface ReportedLoad {
  readonly load: number;
  /** Instant at which this host received the report. */
  readonly at: number;
}

const noRetries: RetryCounts = { requests: 0, retries: 0 };

/**
 * Exchanges datagrams between the entry hosts of one failure domain: open requests, retries,
 * reported loads, suspicions and recoveries of upstreams. Works without a control host.
 */
export default class DomainExchange {
  private readonly options: DomainExchangeOptions;

  private readonly ownInFlight = new Map<string, number>();

  private readonly peers = new Map<string, PeerActivity>();

  /**
   * Sum of the peers' open requests by upstream, because each choice reads the sums of a hundred
   * upstreams.
   */
  private readonly peersInFlight = new Map<string, number>();

  /** Earliest instant at which a peer may time out. */
  private nextTimeoutAt = Infinity;

  private readonly unsentRecoveries = new Set<string>();

  private readonly unsentLoads = new Map<string, number>();

  /** Latest load that each upstream reported to any host of the domain. */
  private readonly reportedLoads = new Map<string, ReportedLoad>();

  private readonly unsentSuspicions: Suspicion[] = [];

  private readonly notifier: Notifier;

  /** Instant at which the changes since the last message are due to be sent. */
  private dueAt = Infinity;

  constructor(options: DomainExchangeOptions) {
    this.options = options;
    this.notifier = new Notifier(options.clock);
    options.socket.onDatagram((content) => this.acceptMessage(content));
  }

  /** Number of open requests of this host and its peers at an upstream. */
  countInFlight(upstream: string): number {
    this.dropExpired(this.options.clock.now());
    return (this.ownInFlight.get(upstream) ?? 0) + (this.peersInFlight.get(upstream) ?? 0);
  }

  /** Requests and retries of the other hosts of the domain for a service. */
  countRetries(service: string): RetryCounts {
    this.dropExpired(this.options.clock.now());
    return [...this.peers.values()].reduce((sum, { retries }) => {
      const counts = retries[service] ?? noRetries;
      return {
        requests: sum.requests + counts.requests,
        retries: sum.retries + counts.retries,
      };
    }, noRetries);
  }

  recordStart(upstream: string): void {
    this.ownInFlight.set(upstream, (this.ownInFlight.get(upstream) ?? 0) + 1);
    this.announceChange(upstream);
  }

  recordEnd(upstream: string): void {
    this.announceChange(upstream);
    const remaining = (this.ownInFlight.get(upstream) ?? 1) - 1;
    if (remaining > 0) this.ownInFlight.set(upstream, remaining);
    else this.ownInFlight.delete(upstream);
  }

  /** Latest load that an upstream reported to this or another host of the domain. */
  readLoad(upstream: string): ReportedLoad | undefined {
    return this.reportedLoads.get(upstream);
  }

  /** Records a load that an upstream reported to this host and sends it with the next message. */
  reportLoad(upstream: string, load: number): void {
    this.unsentLoads.set(upstream, load);
    this.reportedLoads.set(upstream, { load, at: this.options.clock.now() });
  }

  /**
   * Reports a recovery with the next message: the upstream sent a good answer to a request that was
   * sent after all suspicions of the upstream itself.
   */
  reportRecovery(upstream: string): void {
    this.unsentRecoveries.add(upstream);
  }

  /** Records a suspicion that this host observed, and sends it immediately if it is new. */
  reportSuspicion(suspicion: Suspicion, requestId: string): void {
    const { clock, suspicions, log } = this.options;
    const isNew = suspicions.addSuspicion(suspicion, clock.now());
    log.info('detection: an upstream looks bad', { ...suspicion, requestId, isNew });
    if (!isNew) return;
    this.unsentSuspicions.push(suspicion);
    this.sendMessages();
  }

  /** Asks the peers which upstreams they suspect; called once this host has their addresses. */
  requestSuspicions(): void {
    this.sendMessages(true);
  }

  /** Sends changes and repeated messages until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, suspicions } = this.options;
    signal.addEventListener('abort', () => this.notifier.notify(), { once: true });
    let repeatAt = clock.now() + repeatMs;
    while (!signal.aborted) {
      await this.notifier.waitUntil(Math.min(this.dueAt, repeatAt));
      const now = clock.now();
      if (now >= this.dueAt || (now >= repeatAt && this.ownInFlight.size > 0)) {
        this.sendMessages();
        repeatAt = now + repeatMs;
      }
      if (now < repeatAt) continue;
      repeatAt = now + repeatMs;
      suspicions.pruneIdle(now);
    }
  }

  private announceChange(upstream: string): void {
    const isBusy = this.countInFlight(upstream) >= busyThreshold;
    const dueAt = this.options.clock.now() + (isBusy ? busyBatchMs : idleBatchMs);
    if (dueAt >= this.dueAt) return;
    this.dueAt = dueAt;
    this.notifier.notify();
  }

  private sendMessages(asksHeld = false): void {
    const { socket, ownAddress, listPeers, findRelay, readRetries } = this.options;
    const suspicions = this.unsentSuspicions.splice(0);
    this.dueAt = Infinity;
    const activity: HostActivity = {
      inFlight: Object.fromEntries(this.ownInFlight),
      retries: readRetries(),
      loads: Object.fromEntries(this.unsentLoads),
      proven: [...this.unsentRecoveries],
    };
    this.unsentRecoveries.clear();
    this.unsentLoads.clear();
    const message = { from: ownAddress, suspicions, work: activity, ...(asksHeld && { asksHeld }) };
    socket.sendDatagrams(
      message,
      listPeers().filter((address) => address !== ownAddress),
    );
    const relay = suspicions.length > 0 ? findRelay() : undefined;
    if (relay !== undefined) socket.sendDatagrams({ from: ownAddress, suspicions }, [relay]);
  }

  private acceptMessage(content: unknown): void {
    const { clock, suspicions, log } = this.options;
    const message = checkDomainMessage(content);
    if (!message) {
      log.warn('detection: dropped a malformed datagram');
      return;
    }
    const now = clock.now();
    const { from, work: activity } = message;
    if (activity) this.setPeer(from, { ...activity, until: now + peerTimeoutMs });
    Object.entries(activity?.loads ?? {}).forEach(([upstream, load]) =>
      this.reportedLoads.set(upstream, { load, at: now }),
    );
    activity?.proven.forEach((upstream) => suspicions.recordRecovery(upstream, now));
    message.suspicions.forEach((suspicion) => {
      const isNew = suspicions.addSuspicion(suspicion, now, 'other');
      if (isNew) log.info('detection: another host saw a bad upstream', { ...suspicion, from });
    });
    if (message.asksHeld) this.answerSuspicions(from, now);
    this.dropExpired(now);
  }

  private answerSuspicions(address: string, now: number): void {
    const { socket, ownAddress, suspicions } = this.options;
    const listed = suspicions.listSuspicions(now);
    if (listed.length === 0) return;
    socket.sendDatagrams({ from: ownAddress, suspicions: listed }, [address]);
  }

  private setPeer(address: string, activity: PeerActivity | undefined): void {
    this.addInFlight(this.peers.get(address), -1);
    this.addInFlight(activity, 1);
    if (activity) this.peers.set(address, activity);
    else this.peers.delete(address);
    this.nextTimeoutAt = Math.min(this.nextTimeoutAt, activity?.until ?? Infinity);
  }

  private addInFlight(activity: PeerActivity | undefined, factor: 1 | -1): void {
    Object.entries(activity?.inFlight ?? {}).forEach(([upstream, count]) => {
      const sum = (this.peersInFlight.get(upstream) ?? 0) + factor * count;
      if (sum > 0) this.peersInFlight.set(upstream, sum);
      else this.peersInFlight.delete(upstream);
    });
  }

  // Called for every candidate of a choice, so it checks the peers only when one may have timed
  // out.
  private dropExpired(now: number): void {
    if (now < this.nextTimeoutAt) return;
    [...this.peers]
      .filter(([, { until }]) => until <= now)
      .forEach(([address]) => this.setPeer(address, undefined));
    this.nextTimeoutAt = Math.min(...[...this.peers.values()].map(({ until }) => until));
    [...this.reportedLoads]
      .filter(([, { at }]) => at + loadRetentionMs <= now)
      .forEach(([upstream]) => this.reportedLoads.delete(upstream));
  }
}
