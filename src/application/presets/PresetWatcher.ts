import type GossipTopic from '../../domain/membership/GossipTopic.ts';
import type { GossipDigest } from '../../domain/membership/GossipTopic.ts';
import type { PeerAddress } from '../../domain/membership/choosePeers.ts';
import { isNewerThanDigest } from '../../domain/membership/compareVersions.ts';
import type PresetState from '../../domain/presets/PresetState.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import type PeerDialer from '../../ports/PeerDialer.ts';
import type PresetLink from '../../ports/PresetLink.ts';
import type RouteTable from '../../ports/RouteTable.ts';
import type { RouteTableBuilder } from '../../ports/RouteTable.ts';
import type ActivePreset from '../requests/ActivePreset.ts';

const watchMs = 10_000;
const confirmTimeoutMs = 2000;
const retryIntervalMs = 500;
// Before the confirmation, this host cannot determine which control group is its own. The limit
// prevents peers of other groups from filling the memory.
const maxUnconfirmedGroups = 4;

/** Options of the watcher. */
export interface PresetWatcherOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly routeTableBuilder: RouteTableBuilder;
  /** Control hosts listed in the settings. */
  readonly controlHosts: readonly PeerAddress[];
  readonly dialer: PeerDialer<PresetLink>;
  /** Returns a peer's state if it is well-formed. */
  readonly checkState: (value: unknown) => PresetState | undefined;
  /** Called when a newer state must be passed on to peers, and when a state became active. */
  readonly exchangeNow: () => void;
}

/**
 * Watches the active preset on an entry host. No state is active until one linearizable read
 * through the control group has confirmed a revision: the peers of a restarted host may all have
 * older revisions than the host had before its restart.
 */
export default class PresetWatcher implements ActivePreset, GossipTopic {
  readonly name = 'preset';

  private readonly options: PresetWatcherOptions;

  /** Newest state known of each group; after the confirmation, of the confirmed group only. */
  private readonly newest = new Map<string, PresetState>();

  private confirmed: { readonly groupId: string; readonly revision: number } | undefined;

  private active: { readonly state: PresetState; readonly routeTable: RouteTable } | undefined;

  private malformed = 0;

  private otherGroup = 0;

  constructor(options: PresetWatcherOptions) {
    this.options = options;
  }

  get state(): PresetState | undefined {
    return this.active?.state;
  }

  get routeTable(): RouteTable | undefined {
    return this.active?.routeTable;
  }

  /** Whether a confirmed revision, or a higher one, is active. */
  isReady(): boolean {
    return this.active !== undefined;
  }

  /** Numbers of ignored states: malformed ones, and those of another control group. */
  getCounts(): { readonly malformed: number; readonly otherGroup: number } {
    return { malformed: this.malformed, otherGroup: this.otherGroup };
  }

  /** Watches every control host until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { controlHosts, log } = this.options;
    const tasks = controlHosts.map(async (peer) => {
      try {
        await this.watchControlHost(peer, signal);
      } catch (error) {
        const { message } = error as Error;
        log.error('presets: watching a control host failed', { peer: peer.host, error: message });
      }
    });
    await Promise.all(tasks);
  }

  listVersions(): GossipDigest {
    return Object.fromEntries(
      [...this.newest.values()].map(({ groupId, revision }) => [groupId, [revision]]),
    );
  }

  listNewer(digest: GossipDigest): readonly PresetState[] {
    return [...this.newest.values()].filter(({ groupId, revision }) =>
      isNewerThanDigest(digest, groupId, [revision]),
    );
  }

  mergeRecords(records: readonly unknown[]): boolean {
    const states = records.map((record) => this.options.checkState(record));
    const wellFormed = states.filter((state) => state !== undefined);
    this.malformed += states.length - wellFormed.length;
    return wellFormed.map((state) => this.putState(state)).includes(true);
  }

  private async watchControlHost(peer: PeerAddress, signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    const link = this.options.dialer.openLink(peer);
    signal.addEventListener('abort', () => link.close(), { once: true });
    while (!signal.aborted) {
      const startedAt = clock.now();
      const isAnswered = this.confirmed
        ? await this.watchOnce(link, startedAt + watchMs)
        : await this.confirmOnce(link);
      if (!isAnswered) await clock.sleepUntil(startedAt + retryIntervalMs, signal);
    }
    link.close();
  }

  private async confirmOnce(link: PresetLink): Promise<boolean> {
    const { clock } = this.options;
    const answer = await link.confirmState(clock.now() + confirmTimeoutMs, 'entry');
    if (answer.ok) {
      this.acceptConfirmation(answer.value);
      return true;
    }
    // Without a majority, a control host can still send its own state, which this host passes on to
    // its peers.
    await this.watchOnce(link, clock.now() + retryIntervalMs);
    return false;
  }

  private async watchOnce(link: PresetLink, deadline: number): Promise<boolean> {
    const answer = await link.watchState(this.getNewestRevision(), deadline);
    if (!answer.ok) return false;
    if (answer.value && this.putState(answer.value)) this.options.exchangeNow();
    return true;
  }

  private getNewestRevision(): number {
    return Math.max(0, ...[...this.newest.values()].map(({ revision }) => revision));
  }

  private acceptConfirmation(state: PresetState): void {
    if (this.confirmed) return;
    const { groupId, revision } = state;
    this.confirmed = { groupId, revision };
    this.options.log.info('presets: the control group confirmed a revision', { revision });
    [...this.newest.keys()]
      .filter((other) => other !== groupId)
      .forEach((other) => this.newest.delete(other));
    this.putState(state);
    this.applyNewest();
    this.options.exchangeNow();
  }

  private putState(state: PresetState): boolean {
    const { groupId, revision } = state;
    const current = this.newest.get(groupId);
    if (current && current.revision >= revision) return false;
    if (this.confirmed ? groupId !== this.confirmed.groupId : this.isFull(current)) {
      this.otherGroup += 1;
      return false;
    }
    this.newest.set(groupId, state);
    this.applyNewest();
    return true;
  }

  private isFull(current: PresetState | undefined): boolean {
    return !current && this.newest.size >= maxUnconfirmedGroups;
  }

  private applyNewest(): void {
    const { confirmed } = this;
    const state = confirmed && this.newest.get(confirmed.groupId);
    if (!state || state.revision < confirmed.revision) return;
    if (this.active && state.revision <= this.active.state.revision) return;
    const { log, routeTableBuilder } = this.options;
    const { revision, name } = state;
    try {
      const routeTable = routeTableBuilder.buildRouteTable(state.preset.routes);
      this.active = { state, routeTable };
      log.info('presets: activated a revision', { revision, preset: name });
    } catch (error) {
      const { message } = error as Error;
      log.error(
        'presets: the routes of a revision are invalid; the previous revision stays active',
        {
          revision,
          error: message,
        },
      );
    }
  }
}
