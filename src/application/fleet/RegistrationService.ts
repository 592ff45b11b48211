import pruneMap from '../../domain/collections/pruneMap.ts';
import type { RegisterUpstream, RemoveUpstream } from '../../domain/control/ControlCommand.ts';
import type Failure from '../../domain/errors/Failure.ts';
import type Result from '../../domain/errors/Result.ts';
import type { Registration } from '../../domain/membership/RegisteredUpstream.ts';
import type UpstreamRegistry from '../../domain/membership/UpstreamRegistry.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import SerialExecutor from '../replication/SerialExecutor.ts';
import type { ReplicaRole } from '../replication/ReplicaContext.ts';
import type CommandForwarder from './CommandForwarder.ts';

// Upstreams call another control host after 1 s without an answer.
const commitTimeoutMs = 900;
const sweepIntervalMs = 1000;
const announcementsToTakeOver = 3;
// Time without an announcement after which an upstream is silent while another one has announced
// the same address. Upstreams announce themselves about every 1.5 s.
const contestedSilenceMs = 5000;
// Number of stale announcements after which an upstream is known to run and to be out of use.
const staleToWarn = 3;

/** Whether the active preset of a control host has a service; `undecided` before any preset. */
export type ServiceCheckResult = 'known' | 'unknown' | 'undecided';

/** The part of the replica that the service uses. */
export interface RegistrationReplica {
  readonly role: ReplicaRole;
  readonly appliedIndex: number;
  /** Whether this host is in contact with a leader and has applied what it had missed. */
  readonly isCurrent: boolean;
}

/** Options of the service. */
export interface RegistrationServiceOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly replica: RegistrationReplica;
  readonly registry: UpstreamRegistry;
  readonly forwarder: CommandForwarder;
  /** Peers address of this control host. */
  readonly ownAddress: string;
  /** Whether the control host with this peers address is known. */
  readonly isKnownHost: (address: string) => boolean;
  /** Whether the active preset has the service; `undecided` before the first preset. */
  readonly checkService: (service: string) => ServiceCheckResult;
  /** Time without an announcement after which an upstream is silent, in milliseconds. */
  readonly silenceMs: number;
}

/** When an upstream that sends no further announcement is silent. */
interface SilenceDeadlines {
  readonly silentAt: number;
  /** The same while another upstream has announced its address. */
  readonly contestedSilentAt: number;
}

/** Successive announcements of an upstream while the control host `keeper` tracks it. */
interface AnnouncementCount {
  readonly keeper: string;
  /** Sequence of the last one. */
  readonly sequence: number;
  readonly count: number;
}

/** Stale announcements of one run. */
interface StaleRun {
  readonly bornAt: number;
  readonly sequence: number;
  readonly count: number;
}

/** Handles the announcements of upstreams at a control host. */
export default class RegistrationService {
  /** Number of calls of upstreams that were received. */
  callCount = 0;

  private readonly options: RegistrationServiceOptions;

  /** By upstream that this host tracks. */
  private readonly deadlines = new Map<string, SilenceDeadlines>();

  /** Announcements that this host received of upstreams that another one tracks. */
  private readonly announcementCounts = new Map<string, AnnouncementCount>();

  private readonly staleRuns = new Map<string, StaleRun>();

  /** Upstreams that this host is about to track. */
  private readonly waitingTakeovers = new Set<string>();

  private readonly takeovers = new SerialExecutor();

  /** Upstreams that this host tracks and whose address another one has announced. */
  private contested: ReadonlySet<string> = new Set();

  constructor(options: RegistrationServiceOptions) {
    this.options = options;
  }

  /**
   * Resolves once the announcement is in effect: immediately if it changes nothing, otherwise when
   * it is committed. After `no_quorum` or `not_leader`, the upstream may try another control host.
   */
  async acceptRegistration(registration: Registration): Promise<Result<void>> {
    const { registry } = this.options;
    this.callCount += 1;
    const { upstream, service } = registration;
    const refusal = this.findRefusal(upstream, service);
    if (refusal) return { ok: false, failure: refusal };
    const keeper = this.chooseTrackingHost(registration);
    const result = registry.checkRegistration(registration, keeper);
    if (result === 'stale') this.recordStale(registration);
    else this.resetSilenceTimeout(upstream);
    if (result !== 'changed') {
      this.recordUncommitted(result, registration);
      return { ok: true, value: undefined };
    }
    if (registry.isTakeover(registration, this.options.ownAddress)) {
      this.startTakeover(registration);
      this.recordUncommitted('unchanged', registration);
      return { ok: true, value: undefined };
    }
    return this.commitChange({ kind: 'register_upstream', registration, keeper });
  }

  /**
   * Marks an upstream as `gone`. `bornAt` names the incarnation; it is undefined when the upstream
   * did not send it. Fails like `acceptRegistration`.
   */
  async removeUpstream(upstream: string, bornAt: number | undefined): Promise<Result<void>> {
    this.callCount += 1;
    const current = this.options.registry.findUpstream(upstream);
    // This host may lack committed changes. Only the end of a run is certain without them, because
    // a run that has left does not come back.
    if (current?.state === 'gone' && bornAt !== undefined && bornAt <= current.bornAt) {
      this.recordUncommitted('removed', { upstream, bornAt });
      return { ok: true, value: undefined };
    }
    return this.commitChange({ kind: 'remove_upstream', upstream, bornAt, state: 'gone' });
  }

  /** Removes upstreams whose announcements stopped, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await clock.sleepUntil(clock.now() + sweepIntervalMs, signal);
      if (!signal.aborted) await this.removeSilent();
    }
  }

  private findRefusal(upstream: string, service: string): Failure | undefined {
    const result = this.options.checkService(service);
    if (result === 'known') return undefined;
    const call = `announcement of "${upstream}": service "${service}"`;
    return result === 'undecided'
      ? { kind: 'host_not_ready', message: `${call}: this host has no preset yet` }
      : {
          kind: 'announcement_invalid',
          message: `${call}: expected a service of the active preset`,
        };
  }

  private async removeSilent(): Promise<void> {
    const { clock, registry, log } = this.options;
    const now = clock.now();
    const trackedUpstreams = registry
      .listUpstreams()
      .filter(({ keeper, state }) => state !== 'silent' && this.isResponsible(keeper));
    const names = new Set(trackedUpstreams.map(({ upstream }) => upstream));
    pruneMap(this.deadlines, (_deadlines, upstream) => !names.has(upstream));
    const isUnknown = (_value: unknown, upstream: string): boolean =>
      !registry.findUpstream(upstream);
    pruneMap(this.announcementCounts, isUnknown);
    pruneMap(this.staleRuns, isUnknown);
    // An upstream whose announcements this host has just taken over gets the whole silence timeout.
    trackedUpstreams
      .filter(({ upstream }) => !this.deadlines.has(upstream))
      .forEach(({ upstream }) => this.resetSilenceTimeout(upstream));
    this.updateContested(names);
    const silent = trackedUpstreams.filter(({ upstream }) => this.getSilentAt(upstream) < now);
    await Promise.all(
      silent.map(async ({ upstream, bornAt, keeper }) => {
        const isContested = this.contested.has(upstream);
        const fields = { upstream, bornAt, isContested };
        log.info('membership: the announcements of an upstream stopped', fields);
        await this.commitChange({
          ...{ kind: 'remove_upstream', state: 'silent' },
          ...{ upstream, bornAt, keeper },
        });
      }),
    );
  }

  // One control host at a time tracks the announcements of an upstream; the address of that host is
  // stored as `keeper`. An upstream that calls the control hosts in turn would change the `keeper`
  // again and again, so a host takes over only after several announcements with none in between.
  private chooseTrackingHost({ upstream, sequence }: Registration): string {
    const { registry, ownAddress, replica } = this.options;
    const known = registry.findUpstream(upstream);
    const isTracked = known?.state === 'serving' || known?.state === 'leaving';
    const keeper = isTracked ? known.keeper : ownAddress;
    if (keeper === ownAddress) {
      this.announcementCounts.delete(upstream);
      return ownAddress;
    }
    const last = this.announcementCounts.get(upstream);
    const isNext = last?.keeper === keeper && sequence === last.sequence + 1;
    const count = isNext ? last.count + 1 : 1;
    this.announcementCounts.set(upstream, { keeper, sequence, count });
    // Without contact to the group, this host could not commit the change.
    return count < announcementsToTakeOver || !replica.isCurrent ? keeper : ownAddress;
  }

  // Nothing that the upstream says has changed, so it does not wait. Upstreams change their control
  // hosts all at the same time, when these restart, so each host commits one takeover at a time.
  private startTakeover(registration: Registration): void {
    const { upstream } = registration;
    if (this.waitingTakeovers.has(upstream)) return;
    this.waitingTakeovers.add(upstream);
    this.takeovers
      .runNext(() => this.takeOver(registration))
      .catch((error: Error) =>
        this.options.log.error('membership: an upstream could not be taken over', {
          ...{ upstream, error: error.message },
        }),
      );
  }

  private async takeOver(registration: Registration): Promise<void> {
    const { registry, ownAddress, replica } = this.options;
    this.waitingTakeovers.delete(registration.upstream);
    if (!registry.isTakeover(registration, ownAddress) || !replica.isCurrent) return;
    await this.commitChange({ kind: 'register_upstream', registration, keeper: ownAddress });
  }

  // The leader tracks the announcements in place of control hosts that it does not know.
  private isResponsible(keeper: string): boolean {
    const { ownAddress, isKnownHost, replica } = this.options;
    return keeper === ownAddress || (replica.role === 'leader' && !isKnownHost(keeper));
  }

  private resetSilenceTimeout(upstream: string): void {
    const { clock, silenceMs } = this.options;
    const now = clock.now();
    this.deadlines.set(upstream, {
      silentAt: now + silenceMs,
      contestedSilentAt: now + Math.min(silenceMs, contestedSilenceMs),
    });
    this.staleRuns.delete(upstream);
  }

  private getSilentAt(upstream: string): number {
    const deadlines = this.deadlines.get(upstream);
    if (!deadlines) return Infinity;
    return this.contested.has(upstream) ? deadlines.contestedSilentAt : deadlines.silentAt;
  }

  private updateContested(trackedNames: ReadonlySet<string>): void {
    const { log, registry } = this.options;
    const contested = registry.listContested().filter(({ upstream }) => trackedNames.has(upstream));
    contested
      .filter(({ upstream }) => !this.contested.has(upstream))
      .forEach(({ upstream, bornAt, address }) =>
        log.warn('membership: another upstream announced the address of one that is in use', {
          ...{ upstream, bornAt, address },
        }),
      );
    this.contested = new Set(contested.map(({ upstream }) => upstream));
  }

  // A delayed announcement is ignored. A run that sends one after the other is alive, but out of
  // use: another writer used its name, or its start time went back.
  private recordStale({ upstream, bornAt, sequence }: Registration): void {
    const { log, registry } = this.options;
    const last = this.staleRuns.get(upstream);
    const isSameRun = last?.bornAt === bornAt;
    if (isSameRun && sequence <= last.sequence) return;
    const count = isSameRun ? last.count + 1 : 1;
    this.staleRuns.set(upstream, { bornAt, sequence, count });
    if (count !== staleToWarn) return;
    const known = registry.findUpstream(upstream);
    log.warn('membership: an upstream that announces itself is not in use', {
      ...{ upstream, bornAt, sequence },
      ...{ knownState: known?.state, knownBornAt: known?.bornAt },
    });
  }

  // What this host knows decides such an answer, so the line says how old that is. Announcements
  // that change nothing come every second from each upstream.
  private recordUncommitted(
    result: 'unchanged' | 'stale' | 'removed',
    call: {
      readonly upstream: string;
      readonly bornAt: number | undefined;
      readonly sequence?: number;
      readonly state?: string;
    },
  ): void {
    const { log, registry, replica } = this.options;
    const { upstream, bornAt, sequence, state } = call;
    const known = registry.findUpstream(upstream);
    log[result === 'unchanged' ? 'debug' : 'info']('membership: answered a call without a commit', {
      result,
      upstream,
      bornAt,
      sequence,
      state,
      knownState: known?.state,
      knownBornAt: known?.bornAt,
      knownSequence: known?.sequence,
      appliedIndex: replica.appliedIndex,
      isCurrent: replica.isCurrent,
    });
  }

  private async commitChange(command: RegisterUpstream | RemoveUpstream): Promise<Result<void>> {
    const { clock, forwarder, log } = this.options;
    const { upstream, bornAt, state } =
      command.kind === 'register_upstream' ? command.registration : command;
    const startedAt = clock.now();
    const committed = await forwarder.commitCommand(command, startedAt + commitTimeoutMs);
    log.info('membership: a change of the registry was proposed', {
      change: command.kind,
      upstream,
      bornAt,
      state,
      outcome: committed.ok ? 'committed' : committed.failure.kind,
      tookMs: Math.round(clock.now() - startedAt),
      effect:
        committed.ok && committed.value.kind === 'accepted'
          ? committed.value.registryEffect
          : undefined,
    });
    return committed.ok ? { ok: true, value: undefined } : committed;
  }
}
