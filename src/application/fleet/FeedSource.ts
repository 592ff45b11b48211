import type { EntryHostInfo } from '../../domain/fleet/FleetHosts.ts';
import type Clock from '../../ports/Clock.ts';
import type FleetLink from '../../ports/FleetLink.ts';
import type { FeedAnswer, FeedRequest } from '../../ports/FleetLink.ts';
import type FleetView from './FleetView.ts';

// Time for an answer to arrive, beyond the time that the control host may wait for changes.
const answerGraceMs = 500;

/** What a control host answered; `outdated` if it may lack committed changes. */
export type FeedOutcome = 'current' | 'outdated' | 'unanswered';

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
   * Requests the changes since the view and applies them. The control host waits up to `waitMs` for
   * changes, but answers at once while it is not current and this host has a preset.
   */
  async requestChanges(waitMs: number): Promise<FeedOutcome> {
    return this.requestFeed({ waitMs });
  }

  /** The same, but the control host also waits while it is not current. */
  async waitCurrent(waitMs: number): Promise<FeedOutcome> {
    return this.requestFeed({ waitMs, waitsUntilCurrent: true });
  }

  /** Requests only the list of hosts and applies it. */
  async requestHosts(): Promise<void> {
    const answer = await this.request({ wantsHostsOnly: true });
    if (answer) this.options.view.applyHosts(answer.hosts);
  }

  /** Closes the link; a pending request ends without an answer. */
  close(): void {
    this.options.link.close();
  }

  private async requestFeed(
    changes: Pick<FeedRequest, 'waitMs'> & Partial<FeedRequest>,
  ): Promise<FeedOutcome> {
    const { view, clock } = this.options;
    const sentAt = clock.now();
    const answer = await this.request(changes);
    if (!answer) return 'unanswered';
    const { isCurrent } = answer;
    // Until this host has a preset, it applies only the list of hosts from an answer that is not
    // current.
    if (isCurrent || view.isReady) view.applyAnswer(answer);
    else view.applyHosts(answer.hosts);
    if (isCurrent) view.recordAnswer(sentAt);
    this.hasAnswered ||= isCurrent;
    return isCurrent ? 'current' : 'outdated';
  }

  private async request(changes: Partial<FeedRequest>): Promise<FeedAnswer | undefined> {
    const { clock, ownHost, view, link } = this.options;
    const request = {
      entryHost: ownHost,
      groupId: view.groupId,
      position: view.position,
      presetNumber: view.state?.revision,
      hostsVersion: view.hostsVersion,
      wantsHostsOnly: false,
      waitMs: 0,
      waitsUntilCurrent: false,
      ...changes,
    };
    const answer = await link.watchFeed(request, clock.now() + request.waitMs + answerGraceMs);
    return answer.ok ? answer.value : undefined;
  }
}
