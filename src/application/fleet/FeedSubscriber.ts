import type Log from '../../ports/Log.ts';
import type FeedSource from './FeedSource.ts';
import type { FeedOutcome } from './FeedSource.ts';
import FeedSourceFinder from './FeedSourceFinder.ts';
import type { FeedSourceFinderOptions } from './FeedSourceFinder.ts';

// Wait time of a feed request: long enough to cost little, short enough that this host soon notices
// a control host that no longer answers.
const longPollMs = 1200;
// Pause between two rounds through the control hosts, doubled while none of them is current.
const firstPauseMs = 100;
const maxPauseMs = 800;
// Interval at which this host checks whether a preferred control host may be tried.
const preferredCheckMs = 500;

/** Options of the subscriber. */
export interface FeedSubscriberOptions extends FeedSourceFinderOptions {
  readonly log: Log;
}

/**
 * Keeps the view of an entry host up to date from one control host at a time. Once this host has a
 * preset, it leaves a working control host only for a preferred one that has answered.
 */
export default class FeedSubscriber {
  private readonly options: FeedSubscriberOptions;

  private readonly finder: FeedSourceFinder;

  private followed: string | undefined;

  /** Instant of the last answer of a control host that was current. */
  private answeredAt: number;

  constructor(options: FeedSubscriberOptions) {
    this.options = options;
    this.finder = new FeedSourceFinder(options);
    this.answeredAt = options.clock.now();
  }

  /**
   * Time since the last answer of a control host that was current, or since the start, in
   * milliseconds.
   */
  get feedAgeMs(): number {
    return this.options.clock.now() - this.answeredAt;
  }

  /** Peers address of the control host that is followed now. */
  get source(): string | undefined {
    return this.followed;
  }

  /** Follows control hosts in the order of preference until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    const { finder } = this;
    let pauseMs = firstPauseMs;
    let next: FeedSource | undefined;
    const freshnessTask = this.options.view.freshness.run(signal);
    while (!signal.aborted) {
      const source = next ?? (await finder.findSource(signal));
      next = source && (await this.followSource(source, signal));
      if (source?.hasAnswered) pauseMs = firstPauseMs;
      if (source) continue;
      // All control hosts have failed while this host has no preset. Start over, because those of
      // this failure domain may have recovered.
      finder.resetFailures();
      await clock.sleepUntil(clock.now() + pauseMs, signal);
      pauseMs = Math.min(2 * pauseMs, maxPauseMs);
    }
    next?.close();
    await finder.waitIdle();
    await freshnessTask;
  }

  /**
   * Follows a control host until it is no longer current, or a preferred one is, which is then
   * returned.
   */
  private async followSource(
    source: FeedSource,
    signal: AbortSignal,
  ): Promise<FeedSource | undefined> {
    const ended = new AbortController();
    const endFollowing = (): void => ended.abort();
    signal.addEventListener('abort', endFollowing, { once: true });
    ended.signal.addEventListener('abort', () => source.close(), { once: true });
    const preferredTask = this.waitPreferred(source.address, ended.signal).then((preferred) => {
      endFollowing();
      return preferred;
    });
    await this.watchSource(source, ended.signal);
    endFollowing();
    signal.removeEventListener('abort', endFollowing);
    return preferredTask;
  }

  /** Requests changes until the signal aborts or the control host is no longer current. */
  private async watchSource(source: FeedSource, signal: AbortSignal): Promise<void> {
    const { view } = this.options;
    const { finder } = this;
    const { address } = source;
    if (source.hasAnswered) this.markFollowed(address);
    // The whole state is large, so a host that has only seeds first asks for the list of hosts. It
    // can then load the state from a control host of its own failure domain.
    if (view.controlHosts.length === 0) await source.requestHosts();
    let outcome: FeedOutcome = 'current';
    const isCurrent = (): boolean => outcome === 'current';
    while (isCurrent() && !signal.aborted && (view.isReady || !finder.hasPreferred(address))) {
      // While this host is ready, the first request to a control host does not wait, because that
      // control host may have lost contact with its group.
      // The same holds after a pause of this process, during which it may have missed a preset.
      const mayWait = (source.hasAnswered && !view.mayBeOutdated) || !view.isReady;
      outcome = await source.requestChanges(mayWait ? longPollMs : 0);
      if (isCurrent()) this.markFollowed(address);
    }
    if (isCurrent() || signal.aborted) return;
    finder.recordFailure(address);
    if (source.hasAnswered) this.markLost(address);
  }

  /** Tries preferred control hosts from time to time until one of them is current. */
  private async waitPreferred(
    address: string,
    signal: AbortSignal,
  ): Promise<FeedSource | undefined> {
    const { clock, view } = this.options;
    while (!signal.aborted) {
      await clock.sleepUntil(clock.now() + preferredCheckMs, signal);
      const preferred = view.isReady ? await this.finder.findPreferred(address, signal) : undefined;
      if (preferred) return preferred;
    }
    return undefined;
  }

  private markFollowed(address: string): void {
    this.answeredAt = this.options.clock.now();
    if (this.followed === address) return;
    this.followed = address;
    this.options.log.info('membership: following a control host', { address });
  }

  private markLost(address: string): void {
    this.followed = undefined;
    const { position, state } = this.options.view;
    this.options.log.warn('membership: lost the control host', {
      address,
      position,
      presetNumber: state?.revision,
    });
  }
}
