import pruneMap from '../../domain/collections/pruneMap.ts';
import type { DomainMessage } from '../../domain/fleet/DomainMessage.ts';
import type { RetryCounts } from '../../domain/requests/RetryWindow.ts';

// What a peer reported counts for this long unless the peer reports it again.
const reportLifetimeMs = 2500;
// Every candidate of a choice reads the counts, so expired reports are not searched each time.
const sweepIntervalMs = 250;

interface InFlightReport {
  readonly count: number;
  readonly until: number;
}

interface RetryReport {
  readonly counts: RetryCounts;
  readonly until: number;
}

interface PeerActivity {
  /** Open requests by upstream. */
  readonly inFlight: Map<string, InFlightReport>;
  /** Requests and retries by service. */
  readonly retries: Map<string, RetryReport>;
}

/** Requests and retries of several hosts for a service. */
export interface PeerRetryCounts extends RetryCounts {
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

  /** Requests and retries of all peers for a service. */
  countRetries(service: string, now: number): PeerRetryCounts {
    this.dropExpired(now);
    const reports = [...this.peers.values()].flatMap(({ retries }) => retries.get(service) ?? []);
    return {
      requests: reports.reduce((sum, { counts }) => sum + counts.requests, 0),
      retries: reports.reduce((sum, { counts }) => sum + counts.retries, 0),
      hosts: reports.length,
    };
  }

  /** Requests and retries of all peers, by service. */
  computeRetries(now: number): Readonly<Record<string, RetryCounts>> {
    const services = [...this.peers.values()].flatMap(({ retries }) => [...retries.keys()]);
    return Object.fromEntries(
      [...new Set(services)].map((service) => [service, this.countRetries(service, now)]),
    );
  }

  /** Upstreams with open requests of any peer. */
  listBusy(now: number): readonly string[] {
    this.dropExpired(now);
    return [...this.inFlightSums.keys()];
  }

  /** Records what the message of a peer reports. */
  recordMessage(from: string, { upstreams, retries }: DomainMessage, now: number): void {
    const peer = this.peers.get(from) ?? { inFlight: new Map(), retries: new Map() };
    const until = now + reportLifetimeMs;
    upstreams.forEach(({ upstream, inFlight }) =>
      this.setInFlight(peer, upstream, { count: inFlight, until }),
    );
    Object.entries(retries).forEach(([service, counts]) =>
      peer.retries.set(service, { counts, until }),
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
