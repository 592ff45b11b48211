import type ControlStateMachine from '../../domain/control/ControlStateMachine.ts';
import type { ControlHostInfo, EntryHostInfo } from '../../domain/fleet/FleetHosts.ts';
import type Clock from '../../ports/Clock.ts';
import type { FeedAnswer, FeedHosts, FeedRequest } from '../../ports/FleetLink.ts';
import Notifier from '../tasks/Notifier.ts';
import EntryHostDirectory from './EntryHostDirectory.ts';

// Interval at which `run` checks whether this host has lost its leader and whether hosts have
// appeared or gone.
const checkIntervalMs = 250;
// Changes of upstreams are published at most this often, because each of them goes to all entry
// hosts, and many upstreams change at the same time.
const publishIntervalMs = 200;

/** The part of the replica that the feed uses. */
export interface FeedLog {
  readonly groupId: string | undefined;
  readonly appliedIndex: number;
  /** Whether this host is in contact with a leader, or leads and is in contact with a majority. */
  readonly isCurrent: boolean;
  /** Whether this host joined its group without stored data and has received none yet. */
  readonly isEmptyJoiner: boolean;
  waitApplied(afterIndex: number, deadline: number): Promise<void>;
}

/** Options of the feed. */
export interface FeedServiceOptions {
  readonly clock: Clock;
  readonly log: FeedLog;
  readonly state: Pick<ControlStateMachine, 'numberedPreset' | 'registry'>;
  readonly listControlHosts: () => readonly ControlHostInfo[];
}

/** Serves the feed: sends entry hosts the changes of the control group and the list of hosts. */
export default class FeedService {
  /** Number of requests that were received. */
  requestCount = 0;

  private readonly options: FeedServiceOptions;

  private readonly directory: EntryHostDirectory;

  private readonly notifier: Notifier;

  /** Index of the last published change of an upstream. */
  private publishedThrough = 0;

  /** Instant from which the next change of an upstream may be published. */
  private publishFrom = -Infinity;

  constructor(options: FeedServiceOptions) {
    this.options = options;
    const { clock, listControlHosts } = options;
    this.notifier = new Notifier(clock);
    this.directory = new EntryHostDirectory({ clock, listControlHosts });
  }

  /**
   * Wakes waiting requests when a preset becomes active, when an upstream is no longer serving,
   * when this host loses or finds its leader, and, at intervals, when other upstreams or the list
   * of hosts have changed, until the signal aborts.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log, state } = this.options;
    let { appliedIndex, isCurrent } = log;
    let presetNumber = state.numberedPreset?.number;
    let { endedThrough } = state.registry;
    while (!signal.aborted) {
      const wakeAt = clock.now() + checkIntervalMs;
      await log.waitApplied(appliedIndex, this.hasUnpublished ? this.publishFrom : wakeAt);
      const isUrgent =
        log.isCurrent !== isCurrent ||
        state.numberedPreset?.number !== presetNumber ||
        state.registry.endedThrough !== endedThrough;
      const haveHostsChanged = this.directory.updateChanged();
      if (isUrgent || haveHostsChanged || this.mayPublish()) this.announceChanges();
      ({ appliedIndex, isCurrent } = log);
      presetNumber = state.numberedPreset?.number;
      ({ endedThrough } = state.registry);
    }
  }

  /** Entry hosts that sent a request recently. */
  listEntryHosts(): readonly EntryHostInfo[] {
    return this.directory.listHosts();
  }

  /**
   * Long-polling handler: answers when there are changes, when this host loses its leader, or when
   * the wait time of the request is over.
   */
  async handleFeed(request: FeedRequest): Promise<FeedAnswer> {
    const { clock } = this.options;
    this.requestCount += 1;
    this.directory.recordPresence(request.entryHost);
    const deadline = clock.now() + request.waitMs;
    while (!this.shouldAnswer(request) && clock.now() < deadline) {
      await this.notifier.waitUntil(deadline);
    }
    return request.wantsHostsOnly ? this.createHostsAnswer(request) : this.createAnswer(request);
  }

  // While this host is not current, an entry host that has a preset is answered immediately, so
  // that it can try another control host, unless it asks to wait. An entry host without a preset
  // always waits. Nobody waits for a host that has no data.
  private shouldAnswer(request: FeedRequest): boolean {
    const { log } = this.options;
    if (request.wantsHostsOnly) return true;
    const mayWait = request.presetNumber === undefined || request.waitsUntilCurrent;
    if (!log.isCurrent) return !mayWait || log.isEmptyJoiner;
    return this.hasChanges(request);
  }

  private get hasUnpublished(): boolean {
    return this.options.state.registry.changedThrough > this.publishedThrough;
  }

  private mayPublish(): boolean {
    return this.hasUnpublished && this.options.clock.now() >= this.publishFrom;
  }

  private announceChanges(): void {
    const { clock, state } = this.options;
    if (this.hasUnpublished) this.publishFrom = clock.now() + publishIntervalMs;
    this.publishedThrough = state.registry.changedThrough;
    this.notifier.notify();
  }

  private hasChanges(request: FeedRequest): boolean {
    const { log, state } = this.options;
    const { groupId, position, presetNumber, hostsVersion, entryHost } = request;
    const isOtherGroup = log.groupId !== undefined && log.groupId !== groupId;
    return (
      isOtherGroup ||
      this.publishedThrough > position ||
      (state.numberedPreset?.number ?? -Infinity) > (presetNumber ?? -Infinity) ||
      hostsVersion !== this.directory.getHosts(entryHost.failureDomain).version
    );
  }

  private createAnswer(request: FeedRequest): FeedAnswer {
    const { groupId, position, presetNumber } = request;
    const { log, state } = this.options;
    const { numberedPreset, registry } = state;
    const isSameGroup = log.groupId === groupId;
    const knownPosition = isSameGroup ? position : 0;
    const isNewer = (numberedPreset?.number ?? -Infinity) > (presetNumber ?? -Infinity);
    return {
      isCurrent: log.isCurrent && (!isSameGroup || log.appliedIndex >= position),
      groupId: log.groupId ?? '',
      position: log.appliedIndex,
      preset: isNewer || !isSameGroup ? numberedPreset : undefined,
      upstreams: registry.listChanges(knownPosition),
      hosts: this.createHosts(request),
    };
  }

  private createHostsAnswer(request: FeedRequest): FeedAnswer {
    return {
      isCurrent: false,
      groupId: '',
      position: 0,
      preset: undefined,
      upstreams: { isWhole: false, records: [] },
      hosts: this.createHosts(request),
    };
  }

  private createHosts({ entryHost, hostsVersion }: FeedRequest): FeedHosts | undefined {
    const hosts = this.directory.getHosts(entryHost.failureDomain);
    return hosts.version === hostsVersion ? undefined : hosts;
  }
}
