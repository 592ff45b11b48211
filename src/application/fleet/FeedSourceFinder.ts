import chooseControlHosts from '../../domain/fleet/chooseControlHosts.ts';
import chooseSeeds from '../../domain/fleet/chooseSeeds.ts';
import type { EntryHostInfo } from '../../domain/fleet/FleetHosts.ts';
import type Clock from '../../ports/Clock.ts';
import type FleetLink from '../../ports/FleetLink.ts';
import FeedSource from './FeedSource.ts';
import FeedSourceSearch from './FeedSourceSearch.ts';
import type FleetView from './FleetView.ts';

// A control host that failed is tried again after this time, or earlier when all others have failed
// too.
const retryMs = 3000;

/** Options of the finder. */
export interface FeedSourceFinderOptions {
  readonly clock: Clock;
  readonly ownHost: EntryHostInfo;
  readonly view: FleetView;
  /** Peers addresses at which control hosts may be found; the list may change over time. */
  readonly readSeeds: () => readonly string[];
  readonly openLink: (address: string) => FleetLink;
}

/** Finds the control host that an entry host follows. */
export default class FeedSourceFinder {
  private readonly options: FeedSourceFinderOptions;

  /** Instant at which a control host that failed may be tried again, by address. */
  private readonly retryAt = new Map<string, number>();

  /** Resolves when all requests have ended. */
  private pendingRequests: Promise<unknown> = Promise.resolve();

  constructor(options: FeedSourceFinderOptions) {
    this.options = options;
  }

  /** Records that a control host failed, or is no longer current. */
  recordFailure(address: string): void {
    this.retryAt.set(address, this.options.clock.now() + retryMs);
  }

  /** Allows all control hosts to be tried again. */
  resetFailures(): void {
    this.retryAt.clear();
  }

  /** Whether a control host that is preferred to the one at `address` may be tried. */
  hasPreferred(address: string): boolean {
    return this.listPreferred(address).length > 0;
  }

  /**
   * Finds a control host to follow. Without a preset, this host requests the whole state, which is
   * large, from one control host at a time, and gets undefined if none may be tried.
   */
  async findSource(signal: AbortSignal): Promise<FeedSource | undefined> {
    if (this.options.view.isReady) {
      const search = this.createSearch(() => this.listFailedLast());
      return this.runSearch(search, search.askUntilFound(signal));
    }
    const address = this.listAddresses().find((candidate) => this.mayTry(candidate));
    return address === undefined ? undefined : this.openSource(address);
  }

  /** Finds a current control host that is preferred to the one at `address`. */
  findPreferred(address: string, signal: AbortSignal): Promise<FeedSource | undefined> {
    const search = this.createSearch(() => this.listPreferred(address));
    return this.runSearch(search, search.askOnce(signal));
  }

  /** Resolves when all requests have ended. */
  async waitIdle(): Promise<void> {
    await this.pendingRequests;
  }

  private mayTry(address: string): boolean {
    return (this.retryAt.get(address) ?? 0) <= this.options.clock.now();
  }

  private listAddresses(): readonly string[] {
    const { view, ownHost, readSeeds } = this.options;
    const known = chooseControlHosts(view.controlHosts, ownHost).map(({ address }) => address);
    return [...new Set([...known, ...chooseSeeds(readSeeds(), ownHost.host)])];
  }

  private listFailedLast(): readonly string[] {
    const addresses = this.listAddresses();
    const untried = addresses.filter((address) => this.mayTry(address));
    return [...new Set([...untried, ...addresses])];
  }

  private listPreferred(address: string): readonly string[] {
    const addresses = this.listAddresses();
    return addresses
      .slice(0, Math.max(0, addresses.indexOf(address)))
      .filter((candidate) => this.mayTry(candidate));
  }

  private openSource(address: string): FeedSource {
    const { clock, ownHost, view, openLink } = this.options;
    return new FeedSource({ address, link: openLink(address), clock, ownHost, view });
  }

  private runSearch(
    search: FeedSourceSearch,
    result: Promise<FeedSource | undefined>,
  ): Promise<FeedSource | undefined> {
    const idle = result.then(() => search.waitIdle());
    this.pendingRequests = Promise.all([this.pendingRequests, idle]);
    return result;
  }

  private createSearch(listAddresses: () => readonly string[]): FeedSourceSearch {
    return new FeedSourceSearch({
      clock: this.options.clock,
      listAddresses,
      openSource: (address) => this.openSource(address),
      onFailure: (address) => this.recordFailure(address),
    });
  }
}
