import pruneMap from '../../domain/collections/pruneMap.ts';
import type { DomainMessage } from '../../domain/fleet/DomainMessage.ts';
import type { RetryBalance } from '../../domain/requests/RetryAccount.ts';

// Open requests that a peer reported count for this long unless the peer reports them again.
const inFlightLifetimeMs = 2500;
// The same for retries. An idle peer reports nothing, but may have the most left.
const retriesLifetimeMs = 10_000;
// Every candidate of a choice reads the counts, so expired reports are not searched each time.
const sweepIntervalMs = 250;

interface InFlightReport {
  readonly count: number;
  readonly until: number;
}

interface RetryReport {
  readonly balance: RetryBalance;
  readonly until: number;
}

interface PeerActivity {
  /** Open requests by upstream. */
  readonly inFlight: Map<string, InFlightReport>;
  /** Retries by service. */
  readonly retries: Map<string, RetryReport>;
}

/** Retries of several hosts for a service. */
export interface PeerRetryBalance extends RetryBalance {
  /** Number of hosts that reported them; a hub counts as one. */
  readonly hosts: number;
}

/** Open requests and retries of the other entry hosts of a failure domain. */
export default class PeerActivities {
  private readonly peers = new Map<string, PeerActivity>();

  /**
   * Sum of the peers' open requests by upstream, because each choice reads the sums of a hundred
   * upstreams.
   */
  private readonly inFlightSums = new Map<string, number>();

  private nextSweepAt = -Infinity;

  /** Number of open requests of all peers at an upstream. */
  countInFlight(upstream: string, now: number): number {
    this.dropExpired(now);
    return this.inFlightSums.get(upstream) ?? 0;
  }

  /** Retries of all peers for a service. */
  readRetries(service: string, now: number): PeerRetryBalance {
    this.dropExpired(now);
    const reports = [...this.peers.values()].flatMap(({ retries }) => retries.get(service) ?? []);
    const balances = reports.map(({ balance }) => balance);
    return {
      used: balances.reduce((sum, { used }) => sum + used, 0),
      left: balances.reduce((sum, { left }) => sum + left, 0),
      hosts: balances.length,
    };
  }

  /** Retries of all peers, by service. */
  computeRetries(now: number): Readonly<Record<string, RetryBalance>> {
    const services = [...this.peers.values()].flatMap(({ retries }) => [...retries.keys()]);
    return Object.fromEntries(
      [...new Set(services)].map((service) => [service, this.readRetries(service, now)]),
    );
  }

  /** Retries that a peer has left for a service; undefined if it has not reported them. */
  readLeft(address: string, service: string, now: number): number | undefined {
    this.dropExpired(now);
    return this.peers.get(address)?.retries.get(service)?.balance.left;
  }

  /** Forgets the retries that peers reported, because a digest has those of all. */
  resetRetries(): void {
    this.peers.forEach(({ retries }) => retries.clear());
  }

  /** Records that a peer has no retries left for a service. */
  markEmpty(address: string, service: string): void {
    const retries = this.peers.get(address)?.retries;
    const known = retries?.get(service);
    if (known) retries?.set(service, { ...known, balance: { ...known.balance, left: 0 } });
  }

  /** Upstreams with open requests of any peer. */
  listBusy(now: number): readonly string[] {
    this.dropExpired(now);
    return [...this.inFlightSums.keys()];
  }

  /** Records what the message of a peer reports. */
  recordMessage(from: string, { upstreams, retries }: DomainMessage, now: number): void {
    const peer = this.peers.get(from) ?? { inFlight: new Map(), retries: new Map() };
    upstreams.forEach(({ upstream, inFlight }) =>
      this.setInFlight(peer, upstream, { count: inFlight, until: now + inFlightLifetimeMs }),
    );
    Object.entries(retries).forEach(([service, balance]) =>
      peer.retries.set(service, { balance, until: now + retriesLifetimeMs }),
    );
    this.peers.set(from, peer);
  }

  private setInFlight({ inFlight }: PeerActivity, upstream: string, report: InFlightReport): void {
    const change = report.count - (inFlight.get(upstream)?.count ?? 0);
    if (report.count > 0) inFlight.set(upstream, report);
    else inFlight.delete(upstream);
    const sum = (this.inFlightSums.get(upstream) ?? 0) + change;
    if (sum > 0) this.inFlightSums.set(upstream, sum);
    else this.inFlightSums.delete(upstream);
  }

  private dropExpired(now: number): void {
    if (now < this.nextSweepAt) return;
    this.nextSweepAt = now + sweepIntervalMs;
    [...this.peers].forEach(([address, peer]) => {
      [...peer.inFlight]
        .filter(([, { until }]) => until <= now)
        .forEach(([upstream]) => this.setInFlight(peer, upstream, { count: 0, until: now }));
      pruneMap(peer.retries, ({ until }) => until <= now);
      if (peer.inFlight.size === 0 && peer.retries.size === 0) this.peers.delete(address);
    });
  }
}
