import { emptyDomainMessage } from '../../domain/fleet/DomainMessage.ts';
import type { DomainMessage } from '../../domain/fleet/DomainMessage.ts';
import type Clock from '../../ports/Clock.ts';
import type DatagramSocket from '../../ports/DatagramSocket.ts';
import type Log from '../../ports/Log.ts';

// Suspicions of an upstream are relayed at most once in this time: one suspicion is enough for the
// other failure domains, and traffic between failure domains is expensive.
const suppressMs = 1500;
// Bounds the memory; all entries are dropped when the bound is reached.
const maxSuppressed = 10_000;

/** Options of the relay. */
export interface SuspicionRelayOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly socket: DatagramSocket;
  /** Address of one control host in each other failure domain. */
  readonly listRelays: () => readonly string[];
  /** Datagram addresses of the entry hosts of this host's failure domain. */
  readonly listEntryHosts: () => readonly string[];
}

/** Relays suspicions of upstreams between the failure domains. */
export default class SuspicionRelay {
  private readonly options: SuspicionRelayOptions;

  private readonly suppressedUntil = new Map<string, number>();

  private constructor(options: SuspicionRelayOptions) {
    this.options = options;
  }

  /** Relays until the socket closes. */
  static startRelay(options: SuspicionRelayOptions): void {
    const relay = new SuspicionRelay(options);
    options.socket.onMessage((message, from) => relay.handleMessage(message, from));
  }

  private handleMessage(message: DomainMessage, from: string): void {
    const { log, socket, listRelays, listEntryHosts } = this.options;
    const suspicions = message.suspicions.filter(({ upstream }) => this.isDue(upstream));
    if (suspicions.length === 0) return;
    const isFromDomain = listEntryHosts().includes(from);
    const targets = isFromDomain ? listRelays() : listEntryHosts();
    suspicions.forEach((suspicion) => {
      log.info('detection: relaying a suspicion', {
        ...suspicion,
        from,
        targets: targets.length,
      });
    });
    socket.sendMessage({ ...emptyDomainMessage, suspicions }, targets);
  }

  private isDue(upstream: string): boolean {
    const now = this.options.clock.now();
    if ((this.suppressedUntil.get(upstream) ?? 0) > now) return false;
    if (this.suppressedUntil.size >= maxSuppressed) this.suppressedUntil.clear();
    this.suppressedUntil.set(upstream, now + suppressMs);
    return true;
  }
}
