import chooseControlHosts from '../../domain/fleet/chooseControlHosts.ts';
import type { EntryHostInfo } from '../../domain/fleet/FleetHosts.ts';
import type Clock from '../../ports/Clock.ts';
import type FleetLink from '../../ports/FleetLink.ts';
import FeedSource from './FeedSource.ts';
import type FleetView from './FleetView.ts';

// A control host that failed is tried again after this time, or earlier when all others have failed
// too.
const retryMs = 3000;
// The next control host is asked after this time, without waiting for the answers of the others.
const askIntervalMs = 100;

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
  private pendingRequests: Promise<void> = Promise.resolve();

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

  /** Finds a control host to follow; undefined if none may be tried, or none is current. */
  async findSource(signal: AbortSignal): Promise<FeedSource | undefined> {
    const addresses = this.listAddresses().filter((address) => this.mayTry(address));
    if (this.options.view.isReady) return this.askSources(addresses, signal);
    // The whole state is large, so a host without a preset requests it from one control host at a
    // time.
    const [address] = addresses;
    return address === undefined ? undefined : this.openSource(address);
  }

  /** Finds a current control host that is preferred to the one at `address`. */
  findPreferred(address: string, signal: AbortSignal): Promise<FeedSource | undefined> {
    return this.askSources(this.listPreferred(address), signal);
  }

  /** Resolves when all requests have ended. */
  waitIdle(): Promise<void> {
    return this.pendingRequests;
  }

  private mayTry(address: string): boolean {
    return (this.retryAt.get(address) ?? 0) <= this.options.clock.now();
  }

  private listAddresses(): readonly string[] {
    const { view, ownHost, readSeeds } = this.options;
    const known = chooseControlHosts(view.controlHosts, ownHost).map(({ address }) => address);
    return [...new Set([...known, ...readSeeds()])];
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

  /**
   * Asks the control hosts one after the other, without waiting for answers; returns the first that
   * is current.
   */
  private async askSources(
    addresses: readonly string[],
    signal: AbortSignal,
  ): Promise<FeedSource | undefined> {
    if (addresses.length === 0) return undefined;
    const { clock } = this.options;
    const startedAt = clock.now();
    const ended = new AbortController();
    const endSearch = (): void => ended.abort();
    signal.addEventListener('abort', endSearch, { once: true });
    let found: FeedSource | undefined;
    const requests = addresses.map(async (address, index) => {
      await clock.sleepUntil(startedAt + index * askIntervalMs, ended.signal);
      const source = ended.signal.aborted ? undefined : await this.askSource(address);
      if (ended.signal.aborted) source?.close();
      else if (source) {
        found = source;
        endSearch();
      }
    });
    const allRequests = Promise.all(requests).then(endSearch);
    // Requests that are still open when the search ends finish by their deadline.
    this.pendingRequests = Promise.all([this.pendingRequests, allRequests]).then(() => undefined);
    await clock.sleepUntil(Infinity, ended.signal);
    signal.removeEventListener('abort', endSearch);
    return found;
  }

  /** Requests changes without waiting; returns the control host if it is current. */
  private async askSource(address: string): Promise<FeedSource | undefined> {
    const source = this.openSource(address);
    if (await source.requestChanges(0)) return source;
    source.close();
    this.recordFailure(address);
    return undefined;
  }
}
