import type { EntryHostInfo } from '../../domain/fleet/FleetHosts.ts';
import type Clock from '../../ports/Clock.ts';
import type FleetLink from '../../ports/FleetLink.ts';
import type { FeedAnswer } from '../../ports/FleetLink.ts';
import type FleetView from './FleetView.ts';

// Time for an answer to arrive, beyond the time that the control host may wait for changes.
const answerGraceMs = 500;

/** Options of a source. */
export interface FeedSourceOptions {
  /** Peers address of the control host. */
  readonly address: string;
  readonly link: FleetLink;
  readonly clock: Clock;
  readonly ownHost: EntryHostInfo;
  readonly view: FleetView;
}

/** A control host from which an entry host requests the feed. */
export default class FeedSource {
  /** Whether the control host has answered while it was current. */
  hasAnswered = false;

  private readonly options: FeedSourceOptions;

  constructor(options: FeedSourceOptions) {
    this.options = options;
  }

  /** Peers address of the control host. */
  get address(): string {
    return this.options.address;
  }

  /**
   * Requests the changes since the view and applies them. Returns whether the control host answered
   * and is current; it waits up to `waitMs` for changes.
   */
  async requestChanges(waitMs: number): Promise<boolean> {
    const { view } = this.options;
    const answer = await this.request(waitMs, false);
    const isCurrent = answer?.isCurrent ?? false;
    // Until this host has a preset, it applies only the list of hosts from an answer that is not
    // current.
    if (answer && (isCurrent || view.isReady)) view.applyAnswer(answer);
    else if (answer) view.applyHosts(answer.hosts);
    this.hasAnswered ||= isCurrent;
    return isCurrent;
  }

  /** Requests only the list of hosts and applies it. */
  async requestHosts(): Promise<void> {
    const answer = await this.request(0, true);
    if (answer) this.options.view.applyHosts(answer.hosts);
  }

  /** Closes the link; a pending request ends without an answer. */
  close(): void {
    this.options.link.close();
  }

  private async request(waitMs: number, wantsHostsOnly: boolean): Promise<FeedAnswer | undefined> {
    const { clock, ownHost, view, link } = this.options;
    const answer = await link.watchFeed(
      {
        entryHost: ownHost,
        groupId: view.groupId,
        position: view.position,
        presetNumber: view.state?.revision,
        hostsVersion: view.hostsVersion,
        wantsHostsOnly,
        waitMs,
      },
      clock.now() + waitMs + answerGraceMs,
    );
    return answer.ok ? answer.value : undefined;
  }
}
