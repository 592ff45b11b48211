import type { Suspicion } from '../../domain/detection/SuspicionTracker.ts';
import type SuspicionTracker from '../../domain/detection/SuspicionTracker.ts';
import type { RetryCounts } from '../../domain/requests/RetryWindow.ts';
import type Clock from '../../ports/Clock.ts';
import type DatagramSocket from '../../ports/DatagramSocket.ts';
import type Log from '../../ports/Log.ts';
import Notifier from '../tasks/Notifier.ts';
import checkDomainMessage from './checkDomainMessage.ts';
import type { HostActivity } from './checkDomainMessage.ts';

// Changes at a busy upstream are told at once, because others are about to choose it too; a little
// wait lets a start and an end travel together.
const busyGatherMs = 20;
// At others they can wait: half a second is about one request of a host.
const calmGatherMs = 400;
// An upstream is busy from so many open requests: half of the slots that upstreams commonly have.
const busyRequests = 2;
// Repeats what a lost datagram said while requests are open.
const repeatMs = 1000;
// A host without contact for this long has no open requests as far as others know.
const forgetMs = 2500;
// Far beyond the time for which a reported load says anything.
const forgetLoadMs = 30_000;

/** What the exchange needs. */
export interface DomainExchangeOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly socket: DatagramSocket;
  readonly ownAddress: string;
  /** Addresses of the other entry hosts of the failure domain. */
  readonly listPeers: () => readonly string[];
  /** Address of the control host that passes suspicions on to other failure domains. */
  readonly findRelay: () => string | undefined;
  readonly suspicions: SuspicionTracker;
  /** What this host counted in the newest window, by service. */
  readonly readRetries: () => Readonly<Record<string, RetryCounts>>;
}

interface PeerWork extends HostActivity {
  readonly until: number;
}

/** A load that an upstream reported. */
export interface ReportedLoad {
  readonly load: number;
  readonly at: number;
}

const noRetries: RetryCounts = { requests: 0, retries: 0 };

/**
 * What the entry hosts of one failure domain tell each other: their open requests and suspicions of
 * upstreams. It needs no control host.
 */
export default class DomainExchange {
  private readonly options: DomainExchangeOptions;

  private readonly own = new Map<string, number>();

  private readonly peers = new Map<string, PeerWork>();

  /** Open requests of all peers by upstream; a choice among a hundred upstreams asks for each. */
  private readonly peersInFlight = new Map<string, number>();

  /** A peer may have fallen silent from here on. */
  private forgetAt = Infinity;

  private readonly recovered = new Set<string>();

  private readonly loads = new Map<string, number>();

  /** What upstreams reported last, to any host of the domain. */
  private readonly reportedLoads = new Map<string, ReportedLoad>();

  private readonly waiting: Suspicion[] = [];

  private readonly notifier: Notifier;

  /** When the others should know what changed since the last message. */
  private dueAt = Infinity;

  constructor(options: DomainExchangeOptions) {
    this.options = options;
    this.notifier = new Notifier(options.clock);
    options.socket.onDatagram((content) => this.acceptMessage(content));
  }

  /** Requests that this and the other hosts of the domain have open at an upstream. */
  countInFlight(upstream: string): number {
    this.dropSilent(this.options.clock.now());
    return (this.own.get(upstream) ?? 0) + (this.peersInFlight.get(upstream) ?? 0);
  }

  /** Requests and retries that the other hosts of the domain counted for a service. */
  countRetries(service: string): RetryCounts {
    this.dropSilent(this.options.clock.now());
    return [...this.peers.values()].reduce((sum, { retries }) => {
      const counts = retries[service] ?? noRetries;
      return {
        requests: sum.requests + counts.requests,
        retries: sum.retries + counts.retries,
      };
    }, noRetries);
  }

  recordStart(upstream: string): void {
    this.own.set(upstream, (this.own.get(upstream) ?? 0) + 1);
    this.announceChange(upstream);
  }

  recordEnd(upstream: string): void {
    this.announceChange(upstream);
    const left = (this.own.get(upstream) ?? 1) - 1;
    if (left > 0) this.own.set(upstream, left);
    else this.own.delete(upstream);
  }

  /** The load that an upstream reported last, to this or another host of the domain. */
  readLoad(upstream: string): ReportedLoad | undefined {
    return this.reportedLoads.get(upstream);
  }

  /** Takes a load that an upstream reported to this host, for the others too. */
  reportLoad(upstream: string, load: number): void {
    this.loads.set(upstream, load);
    this.reportedLoads.set(upstream, { load, at: this.options.clock.now() });
  }

  /**
   * Tells the others with the next message that an upstream gave a good answer to a request that
   * was sent after all strong suspicions against it.
   */
  reportRecovery(upstream: string): void {
    this.recovered.add(upstream);
  }

  /** Tells the others at once of a suspicion that this host has seen. */
  reportSuspicion(suspicion: Suspicion, requestId: string): void {
    const { clock, suspicions, log } = this.options;
    const isNew = suspicions.addSuspicion(suspicion, clock.now());
    log.info('detection: an upstream looks bad', { ...suspicion, requestId, isNew });
    if (!isNew) return;
    this.waiting.push(suspicion);
    this.sendMessages();
  }

  /** Asks the other hosts which upstreams look bad, once this host knows its peers. */
  requestSuspicions(): void {
    this.sendMessages(true);
  }

  /** Sends what changed until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, suspicions } = this.options;
    signal.addEventListener('abort', () => this.notifier.notify(), { once: true });
    let repeatAt = clock.now() + repeatMs;
    while (!signal.aborted) {
      await this.notifier.waitUntil(Math.min(this.dueAt, repeatAt));
      const now = clock.now();
      if (now >= this.dueAt || (now >= repeatAt && this.own.size > 0)) {
        this.sendMessages();
        repeatAt = now + repeatMs;
      }
      if (now < repeatAt) continue;
      repeatAt = now + repeatMs;
      suspicions.pruneIdle(now);
    }
  }

  private announceChange(upstream: string): void {
    const isBusy = this.countInFlight(upstream) >= busyRequests;
    const dueAt = this.options.clock.now() + (isBusy ? busyGatherMs : calmGatherMs);
    if (dueAt >= this.dueAt) return;
    this.dueAt = dueAt;
    this.notifier.notify();
  }

  private sendMessages(asksHeld = false): void {
    const { socket, ownAddress, listPeers, findRelay, readRetries } = this.options;
    const suspicions = this.waiting.splice(0);
    this.dueAt = Infinity;
    const work: HostActivity = {
      inFlight: Object.fromEntries(this.own),
      retries: readRetries(),
      loads: Object.fromEntries(this.loads),
      proven: [...this.recovered],
    };
    this.recovered.clear();
    this.loads.clear();
    const message = { from: ownAddress, suspicions, work, ...(asksHeld && { asksHeld }) };
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
      log.warn('detection: a datagram is malformed');
      return;
    }
    const now = clock.now();
    const { from, work } = message;
    if (work) this.setPeer(from, { ...work, until: now + forgetMs });
    Object.entries(work?.loads ?? {}).forEach(([upstream, load]) =>
      this.reportedLoads.set(upstream, { load, at: now }),
    );
    work?.proven.forEach((upstream) => suspicions.recordRecovery(upstream, now));
    message.suspicions.forEach((suspicion) => {
      const isNew = suspicions.addSuspicion(suspicion, now, 'other');
      if (isNew) log.info('detection: another host saw a bad upstream', { ...suspicion, from });
    });
    if (message.asksHeld) this.answerSuspicions(from, now);
    this.dropSilent(now);
  }

  private answerSuspicions(address: string, now: number): void {
    const { socket, ownAddress, suspicions } = this.options;
    const listed = suspicions.listSuspicions(now);
    if (listed.length === 0) return;
    socket.sendDatagrams({ from: ownAddress, suspicions: listed }, [address]);
  }

  private setPeer(address: string, work: PeerWork | undefined): void {
    this.addInFlight(this.peers.get(address), -1);
    this.addInFlight(work, 1);
    if (work) this.peers.set(address, work);
    else this.peers.delete(address);
    this.forgetAt = Math.min(this.forgetAt, work?.until ?? Infinity);
  }

  private addInFlight(work: PeerWork | undefined, sign: 1 | -1): void {
    Object.entries(work?.inFlight ?? {}).forEach(([upstream, count]) => {
      const sum = (this.peersInFlight.get(upstream) ?? 0) + sign * count;
      if (sum > 0) this.peersInFlight.set(upstream, sum);
      else this.peersInFlight.delete(upstream);
    });
  }

  // Asked for every candidate of a choice, so it looks at the peers only when one may be silent.
  private dropSilent(now: number): void {
    if (now < this.forgetAt) return;
    [...this.peers]
      .filter(([, { until }]) => until <= now)
      .forEach(([address]) => this.setPeer(address, undefined));
    this.forgetAt = Math.min(...[...this.peers.values()].map(({ until }) => until));
    [...this.reportedLoads]
      .filter(([, { at }]) => at + forgetLoadMs <= now)
      .forEach(([upstream]) => this.reportedLoads.delete(upstream));
  }
}
