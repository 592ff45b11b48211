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
const maxPauseMs = 800;
// A control host that did not answer is tried again after this time, or when none is left.
const returnMs = 3000;

/** What the subscriber needs. */
export interface FeedSubscriberOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly own: EntryHostInfo;
  readonly view: FleetView;
  /** Peers addresses at which control hosts may be found; they may change. */
  readonly readSeeds: () => readonly string[];
  readonly openLink: (address: string) => FleetLink;
}

/** Keeps the view of an entry host up to date from one control host at a time. */
export default class FeedSubscriber {
  private readonly options: FeedSubscriberOptions;

  private followed: string | undefined;

  /** When a control host that did not answer may be tried again. */
  private readonly retryAt = new Map<string, number>();

  constructor(options: FeedSubscriberOptions) {
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
      const address = addresses.find((candidate) => this.mayTry(candidate));
      const hasAnswered = address !== undefined && (await this.followHost(address, signal));
      if (hasAnswered) pauseMs = firstPauseMs;
      if (address === undefined) {
        // All were tried; those of the own failure domain may be back.
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
    const { view, own, readSeeds } = this.options;
    const known = chooseControlHosts(view.controlHosts, own).map(({ address }) => address);
    return [...new Set([...known, ...readSeeds()])];
  }

  /** Whether a control host that is preferred to the followed one may be tried. */
  private hasBetter(address: string): boolean {
    const addresses = this.listAddresses();
    return addresses
      .slice(0, Math.max(0, addresses.indexOf(address)))
      .some((candidate) => this.mayTry(candidate));
  }

  /** Returns whether the host answered as one that is in touch with its group. */
  private async followHost(address: string, signal: AbortSignal): Promise<boolean> {
    const { clock, openLink, view } = this.options;
    const link = openLink(address);
    if (view.controlHosts.length === 0) await this.askHosts(link);
    const onAbort = (): void => link.close();
    signal.addEventListener('abort', onAbort, { once: true });
    let hasAnswered = false;
    let isGood = true;
    while (isGood && !signal.aborted && !this.hasBetter(address)) {
      // A host that looks for another one must not wait for one that may be out of touch.
      const mayWait = hasAnswered || !view.isReady;
      const answer = await this.askFeed(link, mayWait ? waitMs : 0);
      isGood = answer?.isCurrent ?? false;
      if (isGood) this.markFollowed(address);
      hasAnswered ||= isGood;
      // A host that knows nothing yet learns of the others from any answer.
      if (answer && (isGood || view.isReady)) view.applyAnswer(answer);
      else if (answer) view.applyHosts(answer.hosts);
    }
    signal.removeEventListener('abort', onAbort);
    link.close();
    if (!isGood && !signal.aborted) this.retryAt.set(address, clock.now() + returnMs);
    if (hasAnswered && !isGood) this.markLost(address);
    return hasAnswered;
  }

  // The state is large, so a host that knows only seeds asks for the hosts of its own domain first.
  private async askHosts(link: FleetLink): Promise<void> {
    const answer = await this.askFeed(link, 0, true);
    if (answer) this.options.view.applyHosts(answer.hosts);
  }

  private async askFeed(
    link: FleetLink,
    askedMs: number,
    wantsHostsOnly = false,
  ): Promise<FeedAnswer | undefined> {
    const { clock, own, view } = this.options;
    const answer = await link.watchFeed(
      {
        entryHost: own,
        groupId: view.groupId,
        position: view.position,
        presetNumber: view.state?.revision,
        hostsVersion: view.hostsVersion,
        wantsHostsOnly,
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
