import type Clock from '../../ports/Clock.ts';
import type DatagramSocket from '../../ports/DatagramSocket.ts';
import type Log from '../../ports/Log.ts';
import checkDomainMessage from './checkDomainMessage.ts';

// Other failure domains hear of an upstream once in this time: one suspicion is enough for them,
// and bytes between failure domains are dear.
const quietMs = 1500;
// Bounds the memory; old entries are dropped when it is reached.
const maxQuietUpstreams = 10_000;

/** What the relay needs. */
export interface SuspicionRelayOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly socket: DatagramSocket;
  readonly ownAddress: string;
  /** One control host of each other failure domain. */
  readonly listRelays: () => readonly string[];
  /** Datagram addresses of the entry hosts of the own failure domain. */
  readonly listEntryHosts: () => readonly string[];
}

/** Passes suspicions of upstreams between the failure domains. */
export default class SuspicionRelay {
  private readonly options: SuspicionRelayOptions;

  private readonly quietUntil = new Map<string, number>();

  private constructor(options: SuspicionRelayOptions) {
    this.options = options;
  }

  /** Relays until the socket closes. */
  static startRelay(options: SuspicionRelayOptions): void {
    const relay = new SuspicionRelay(options);
    options.socket.onDatagram((content) => relay.handleMessage(content));
  }

  private handleMessage(content: unknown): void {
    const { log, socket, ownAddress, listRelays, listEntryHosts } = this.options;
    const message = checkDomainMessage(content);
    if (!message) {
      log.warn('detection: a datagram is malformed');
      return;
    }
    const suspicions = message.suspicions.filter(({ upstream }) => this.isDue(upstream));
    if (suspicions.length === 0) return;
    const isFromDomain = listEntryHosts().includes(message.from);
    const targets = isFromDomain ? listRelays() : listEntryHosts();
    suspicions.forEach((suspicion) => {
      const { from } = message;
      log.info('detection: passing on a bad upstream', {
        ...suspicion,
        from,
        targets: targets.length,
      });
    });
    socket.sendDatagrams({ from: ownAddress, suspicions }, targets);
  }

  private isDue(upstream: string): boolean {
    const now = this.options.clock.now();
    if ((this.quietUntil.get(upstream) ?? 0) > now) return false;
    if (this.quietUntil.size >= maxQuietUpstreams) this.quietUntil.clear();
    this.quietUntil.set(upstream, now + quietMs);
    return true;
  }
}
