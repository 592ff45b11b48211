import type { ControlHostInfo } from '../../domain/fleet/FleetHosts.ts';
import type Clock from '../../ports/Clock.ts';
import type FleetLink from '../../ports/FleetLink.ts';
import type Log from '../../ports/Log.ts';
import Notifier from '../tasks/Notifier.ts';

const callTimeoutMs = 500;
// The pause is short while the fleet starts and doubles up to the maximum, so that seeds that are
// down are not called too often.
const firstPauseMs = 50;
const maxPauseMs = 1000;

/** Options of the discovery. */
export interface ControlHostDiscoveryOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly ownHost: ControlHostInfo;
  /** Peers addresses at which control hosts may be found; the list may change over time. */
  readonly readSeeds: () => readonly string[];
  readonly openLink: (address: string) => FleetLink;
  /** Called once for each control host that was discovered, except this one. */
  readonly onHostDiscovered: (host: ControlHostInfo) => void;
}

/** Discovers control hosts: each control host exchanges its list of hosts with every other one. */
export default class ControlHostDiscovery {
  private readonly options: ControlHostDiscoveryOptions;

  private readonly hosts = new Map<string, ControlHostInfo>();

  /** Addresses of hosts with which an exchange succeeded, so that they have this host's address. */
  private readonly exchangedWith = new Set<string>();

  private readonly notifier: Notifier;

  constructor(options: ControlHostDiscoveryOptions) {
    this.options = options;
    this.notifier = new Notifier(options.clock);
    this.hosts.set(options.ownHost.address, options.ownHost);
  }

  /** All known control hosts, including this one. */
  listHosts(): readonly ControlHostInfo[] {
    return [...this.hosts.values()];
  }

  findHost(address: string): ControlHostInfo | undefined {
    return this.hosts.get(address);
  }

  addHosts(hosts: readonly ControlHostInfo[]): void {
    const { ownHost, log, onHostDiscovered } = this.options;
    hosts
      .filter(({ address }) => address !== ownHost.address && !this.hosts.has(address))
      .forEach((host) => {
        log.info('membership: discovered a control host', {
          address: host.address,
          failureDomain: host.failureDomain,
        });
        this.hosts.set(host.address, host);
        onHostDiscovered(host);
        this.notifier.notify();
      });
  }

  /**
   * Exchanges host lists with every known host and seed with which no exchange has succeeded yet,
   * until the signal aborts.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    signal.addEventListener('abort', () => this.notifier.notify(), { once: true });
    let pauseMs = firstPauseMs;
    while (!signal.aborted) {
      const exchangesBefore = this.exchangedWith.size;
      const addresses = this.listPending();
      await Promise.all(addresses.map((address) => this.exchangeWithHost(address)));
      pauseMs =
        this.exchangedWith.size > exchangesBefore
          ? firstPauseMs
          : Math.min(2 * pauseMs, maxPauseMs);
      if (!signal.aborted) await this.notifier.waitUntil(clock.now() + pauseMs);
    }
  }

  private listPending(): readonly string[] {
    const { ownHost, readSeeds } = this.options;
    const addresses = new Set([...readSeeds(), ...this.hosts.keys()]);
    return [...addresses].filter(
      (address) => address !== ownHost.address && !this.exchangedWith.has(address),
    );
  }

  private async exchangeWithHost(address: string): Promise<void> {
    const { clock, openLink } = this.options;
    const link = openLink(address);
    const answer = await link.exchangeHosts(this.listHosts(), clock.now() + callTimeoutMs);
    link.close();
    if (!answer.ok) return;
    this.exchangedWith.add(address);
    this.addHosts(answer.value);
  }
}
