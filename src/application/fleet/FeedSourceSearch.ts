import type Clock from '../../ports/Clock.ts';
import type FeedSource from './FeedSource.ts';
import type { FeedOutcome } from './FeedSource.ts';

// The next control host is asked after this time, without waiting for the answers of the others.
const firstIntervalMs = 100;
// Once each of them was asked, the time doubles up to the maximum: a group without a leader is busy
// with its election, and all entry hosts search at the same time.
const maxIntervalMs = 1000;
// Control hosts that are asked to wait until they are current, over a connection that stays open.
const maxWaitingSources = 2;
const waitMs = 1200;

/** Options of a search. */
export interface FeedSourceSearchOptions {
  readonly clock: Clock;
  /** Peers addresses of the control hosts, the preferred ones first; the list may change. */
  readonly listAddresses: () => readonly string[];
  readonly openSource: (address: string) => FeedSource;
  /** Called with the address of each control host that is not current or does not answer. */
  readonly onFailure: (address: string) => void;
}

/** One search of an entry host for a control host that is current. */
export default class FeedSourceSearch {
  private readonly options: FeedSourceSearchOptions;

  private readonly ended = new AbortController();

  private found: FeedSource | undefined;

  /** Addresses of the control hosts that are being asked, or wait until they are current. */
  private readonly pending = new Set<string>();

  /** Addresses in the order in which they were last asked. */
  private readonly asked = new Set<string>();

  /** How many more control hosts may be asked to wait until they are current. */
  private freeWaits = 0;

  /** Resolves when all requests have ended. */
  private requests: Promise<void> = Promise.resolve();

  constructor(options: FeedSourceSearchOptions) {
    this.options = options;
  }

  /** Asks each control host once; returns the first that is current, if any. */
  async askOnce(signal: AbortSignal): Promise<FeedSource | undefined> {
    const addresses = this.options.listAddresses();
    return this.runUntilEnd(signal, async () => {
      for (const address of addresses) {
        if (this.ended.signal.aborted) return;
        this.askNext(address);
        await this.sleep(firstIntervalMs);
      }
      await this.requests;
    });
  }

  /** Asks control hosts until one is current; returns undefined only when the signal aborts. */
  async askUntilFound(signal: AbortSignal): Promise<FeedSource | undefined> {
    this.freeWaits = maxWaitingSources;
    return this.runUntilEnd(signal, async () => {
      let intervalMs = firstIntervalMs;
      while (!this.ended.signal.aborted) {
        const addresses = this.options.listAddresses();
        const hasAskedAll = addresses.every((address) => this.asked.has(address));
        if (hasAskedAll) intervalMs = Math.min(2 * intervalMs, maxIntervalMs);
        const next = this.chooseNext(addresses);
        if (next !== undefined) this.askNext(next);
        await this.sleep(intervalMs);
      }
    });
  }

  /** Resolves when all requests have ended; those that are open at the end have a deadline. */
  async waitIdle(): Promise<void> {
    await this.requests;
  }

  private async runUntilEnd(
    signal: AbortSignal,
    ask: () => Promise<void>,
  ): Promise<FeedSource | undefined> {
    const end = (): void => this.ended.abort();
    if (signal.aborted) end();
    signal.addEventListener('abort', end, { once: true });
    await Promise.race([ask(), this.sleep(Infinity)]);
    end();
    signal.removeEventListener('abort', end);
    return this.found;
  }

  private sleep(ms: number): Promise<void> {
    const { clock } = this.options;
    return clock.sleepUntil(clock.now() + ms, this.ended.signal);
  }

  /** Chooses one that was never asked, or else the one that was asked the longest time ago. */
  private chooseNext(addresses: readonly string[]): string | undefined {
    const free = addresses.filter((address) => !this.pending.has(address));
    const order = [...this.asked];
    return (
      free.find((address) => !this.asked.has(address)) ??
      order.find((address) => free.includes(address))
    );
  }

  private askNext(address: string): void {
    this.asked.delete(address);
    this.asked.add(address);
    this.pending.add(address);
    const request = this.askSource(address).finally(() => this.pending.delete(address));
    this.requests = Promise.all([this.requests, request]).then(() => undefined);
  }

  private async askSource(address: string): Promise<void> {
    const source = this.options.openSource(address);
    let outcome = await source.requestChanges(0);
    let isCancelled = false;
    if (outcome === 'outdated' && this.freeWaits > 0) {
      this.freeWaits -= 1;
      outcome = await this.waitCurrent(source);
      this.freeWaits += 1;
      isCancelled = this.ended.signal.aborted;
    }
    if (outcome === 'current' && !this.ended.signal.aborted) {
      this.found = source;
      this.ended.abort();
      return;
    }
    source.close();
    if (outcome !== 'current' && !isCancelled) this.options.onFailure(address);
  }

  private async waitCurrent(source: FeedSource): Promise<FeedOutcome> {
    const { clock } = this.options;
    const { signal } = this.ended;
    const close = (): void => source.close();
    signal.addEventListener('abort', close, { once: true });
    let outcome: FeedOutcome = 'outdated';
    let waitsFrom = clock.now();
    // A control host that answers early has no data and does not wait.
    while (outcome === 'outdated' && clock.now() >= waitsFrom && !signal.aborted) {
      waitsFrom = clock.now() + waitMs / 2;
      outcome = await source.waitCurrent(waitMs);
    }
    signal.removeEventListener('abort', close);
    return outcome;
  }
}
