import chooseControlHosts from '../../domain/fleet/chooseControlHosts.ts';
import type { EntryHostInfo } from '../../domain/fleet/FleetHosts.ts';
import type Clock from '../../ports/Clock.ts';
import type FleetLink from '../../ports/FleetLink.ts';
import type { FeedAnswer } from '../../ports/FleetLink.ts';
import type Log from '../../ports/Log.ts';
import type FleetView from './FleetView.ts';

// Wait time of a feed request: long enough to cost little, short enough that the control host does
// not remove this entry host.
const longPollMs = 2000;
// Extra time for the answer to arrive after the wait time.
const answerGraceMs = 600;
// Pause between two rounds through the control hosts, doubled while none of them is current.
const firstPauseMs = 100;
const maxPauseMs = 800;
// A control host that failed is tried again after this time, or earlier when all others have failed
// too.
const retryMs = 3000;

/** Options of the subscriber. */
export interface FeedSubscriberOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly ownHost: EntryHostInfo;
  readonly view: FleetView;
  /** Peers addresses at which control hosts may be found; the list may change over time. */
  readonly readSeeds: () => readonly string[];
  readonly openLink: (address: string) => FleetLink;
}

/** Keeps the view of an entry host up to date from one control host at a time. */
export default class FeedSubscriber {
  private readonly options: FeedSubscriberOptions;

  private followed: string | undefined;

  /** Instant of the last answer of a control host that was current. */
  private answeredAt: number;

  /** Instant at which a control host that failed may be tried again, by address. */
  private readonly retryAt = new Map<string, number>();

  constructor(options: FeedSubscriberOptions) {
    this.options = options;
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
    let pauseMs = firstPauseMs;
    while (!signal.aborted) {
      const addresses = this.listAddresses();
      const address = addresses.find((candidate) => this.mayTry(candidate));
      const hasAnswered = address !== undefined && (await this.followHost(address, signal));
      if (hasAnswered) pauseMs = firstPauseMs;
      if (address === undefined) {
        // All control hosts have failed. Start over, because those of this failure domain may have
        // recovered.
        this.retryAt.clear();
        await clock.sleepUntil(clock.now() + pauseMs, signal);
        pauseMs = Math.min(2 * pauseMs, maxPauseMs);
      }
    }
  }

  private mayTry(address: string): boolean {
    return (this.retryAt.get(address) ?? 0) <= this.options.clock.now();
  }

  private listAddresses(): readonly string[] {
    const { view, ownHost, readSeeds } = this.options;
    const known = chooseControlHosts(view.controlHosts, ownHost).map(({ address }) => address);
    return [...new Set([...known, ...readSeeds()])];
  }

  /** Whether a control host that is preferred to the one at `address` may be tried. */
  private hasPreferred(address: string): boolean {
    const addresses = this.listAddresses();
    return addresses
      .slice(0, Math.max(0, addresses.indexOf(address)))
      .some((candidate) => this.mayTry(candidate));
  }

  /**
   * Follows a control host until it is no longer current or a preferred one may be tried. Returns
   * whether the control host sent any answer while it was current.
   */
  private async followHost(address: string, signal: AbortSignal): Promise<boolean> {
    const { clock, openLink, view } = this.options;
    const link = openLink(address);
    if (view.controlHosts.length === 0) await this.askHosts(link);
    const onAbort = (): void => link.close();
    signal.addEventListener('abort', onAbort, { once: true });
    let hasAnswered = false;
    let isCurrent = true;
    while (isCurrent && !signal.aborted && !this.hasPreferred(address)) {
      // While this host is ready, the first request to a control host does not wait, because that
      // control host may have lost contact with its group.
      const mayWait = hasAnswered || !view.isReady;
      const answer = await this.askFeed(link, mayWait ? longPollMs : 0);
      isCurrent = answer?.isCurrent ?? false;
      if (isCurrent) this.markFollowed(address);
      hasAnswered ||= isCurrent;
      // Until this host has a preset, it applies only the list of hosts from an answer that is not
      // current.
      if (answer && (isCurrent || view.isReady)) view.applyAnswer(answer);
      else if (answer) view.applyHosts(answer.hosts);
    }
    signal.removeEventListener('abort', onAbort);
    link.close();
    if (!isCurrent && !signal.aborted) this.retryAt.set(address, clock.now() + retryMs);
    if (hasAnswered && !isCurrent) this.markLost(address);
    return hasAnswered;
  }

  // The whole state is large, so a host that has only seeds first asks for the list of hosts. It
  // can then load the state from a control host of its own failure domain.
  private async askHosts(link: FleetLink): Promise<void> {
    const answer = await this.askFeed(link, 0, true);
    if (answer) this.options.view.applyHosts(answer.hosts);
  }

  private async askFeed(
    link: FleetLink,
    pollMs: number,
    wantsHostsOnly = false,
  ): Promise<FeedAnswer | undefined> {
    const { clock, ownHost, view } = this.options;
    const answer = await link.watchFeed(
      {
        entryHost: ownHost,
        groupId: view.groupId,
        position: view.position,
        presetNumber: view.state?.revision,
        hostsVersion: view.hostsVersion,
        wantsHostsOnly,
        waitMs: pollMs,
      },
      clock.now() + pollMs + answerGraceMs,
    );
    return answer.ok ? answer.value : undefined;
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
