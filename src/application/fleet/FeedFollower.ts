import chooseControlHosts from '../../domain/fleet/chooseControlHosts.ts';
import type { EntryHostInfo } from '../../domain/fleet/FleetHosts.ts';
import type Clock from '../../ports/Clock.ts';
import type FleetLink from '../../ports/FleetLink.ts';
import type { FeedAnswer } from '../../ports/FleetLink.ts';
import type Log from '../../ports/Log.ts';
import type FleetView from './FleetView.ts';

// Long enough to cost little, short enough that entry hosts are not taken for gone.
const waitMs = 2000;
// The answer to a call that may wait comes this much later at most.
const answerGraceMs = 600;
// Between two rounds through the control hosts; doubled while none of them is in touch.
const firstPauseMs = 100;
const longestPauseMs = 1600;
// How often a host that follows another failure domain looks for a control host of its own.
const returnMs = 3000;

/** What the follower needs. */
export interface FeedFollowerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly own: EntryHostInfo;
  readonly view: FleetView;
  /** Peers addresses at which control hosts may be found; they may change. */
  readonly readSeeds: () => readonly string[];
  readonly openLink: (address: string) => FleetLink;
}

/** Keeps the view of an entry host up to date from one control host at a time. */
export default class FeedFollower {
  private readonly options: FeedFollowerOptions;

  private followed: string | undefined;

  constructor(options: FeedFollowerOptions) {
    this.options = options;
  }

  /** Peers address of the control host that answers now. */
  get source(): string | undefined {
    return this.followed;
  }

  /** Follows control hosts in the order of preference until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    let pauseMs = firstPauseMs;
    while (!signal.aborted) {
      const addresses = this.listAddresses();
      pauseMs = Math.min(2 * pauseMs, longestPauseMs);
      for (const address of addresses) {
        if (signal.aborted) break;
        const isPreferred = address === addresses[0];
        const hasAnswered = await this.followHost(address, { isPreferred, signal });
        if (!hasAnswered) continue;
        // The order may have changed with what was learned.
        pauseMs = firstPauseMs;
        break;
      }
      await clock.sleepUntil(clock.now() + pauseMs, signal);
    }
  }

  private listAddresses(): readonly string[] {
    const { view, own, readSeeds } = this.options;
    const known = chooseControlHosts(view.controlHosts, own).map(({ address }) => address);
    return [...new Set([...known, ...readSeeds()])];
  }

  /** Returns whether the host answered as one that is in touch with its group. */
  private async followHost(
    address: string,
    { isPreferred, signal }: { readonly isPreferred: boolean; readonly signal: AbortSignal },
  ): Promise<boolean> {
    const { clock, openLink } = this.options;
    const link = openLink(address);
    const onAbort = (): void => link.close();
    signal.addEventListener('abort', onAbort, { once: true });
    const leaveAt = isPreferred ? Infinity : clock.now() + returnMs;
    let hasAnswered = false;
    let isGood = true;
    while (isGood && !signal.aborted && clock.now() < leaveAt) {
      // A host that looks for another one must not wait for one that may be out of touch.
      const mayWait = hasAnswered || !this.options.view.isReady;
      const answer = await this.askFeed(link, mayWait ? waitMs : 0);
      isGood = answer?.isCurrent ?? false;
      if (isGood) this.markFollowed(address);
      hasAnswered ||= isGood;
      // A host that knows nothing yet learns of the others from any answer.
      if (answer && (isGood || this.options.view.isReady)) this.options.view.applyAnswer(answer);
      else if (answer) this.options.view.applyHosts(answer.hosts);
    }
    signal.removeEventListener('abort', onAbort);
    link.close();
    if (hasAnswered && !isGood) this.markLost(address);
    return hasAnswered;
  }

  private async askFeed(link: FleetLink, askedMs: number): Promise<FeedAnswer | undefined> {
    const { clock, own, view } = this.options;
    const answer = await link.followFeed(
      {
        entryHost: own,
        groupId: view.groupId,
        position: view.position,
        presetNumber: view.state?.revision,
        hostsVersion: view.hostsVersion,
        waitMs: askedMs,
      },
      clock.now() + askedMs + answerGraceMs,
    );
    return answer.ok ? answer.value : undefined;
  }

  private markFollowed(address: string): void {
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
