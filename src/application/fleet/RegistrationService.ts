import type { RegisterUpstream, RemoveUpstream } from '../../domain/control/ControlCommand.ts';
import type Failure from '../../domain/errors/Failure.ts';
import type Result from '../../domain/errors/Result.ts';
import type { Registration } from '../../domain/membership/RegisteredUpstream.ts';
import type UpstreamRegistry from '../../domain/membership/UpstreamRegistry.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import type { ReplicaRole } from '../replication/ReplicaContext.ts';
import type CommandForwarder from './CommandForwarder.ts';

// Upstreams call another control host after 1 s without an answer.
const commitTimeoutMs = 900;
const sweepIntervalMs = 1000;
const announcementsToTakeOver = 3;

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

/** Handles the announcements of upstreams at a control host. */
export default class RegistrationService {
  private readonly options: RegistrationServiceOptions;

  /** Instant by which the next announcement of each upstream that this host tracks is due. */
  private readonly announcementDueAt = new Map<string, number>();

  /** Number of announcements that this host received, by upstream. */
  private readonly announcementCounts = new Map<string, number>();

  constructor(options: RegistrationServiceOptions) {
    this.options = options;
  }

  /**
   * Resolves once the announcement is in effect: immediately if it changes nothing, otherwise when
   * it is committed. After `no_quorum` or `not_leader`, the upstream may try another control host.
   */
  async acceptRegistration(registration: Registration): Promise<Result<void>> {
    const { registry } = this.options;
    const { upstream, service } = registration;
    const refusal = this.findRefusal(upstream, service);
    if (refusal) return { ok: false, failure: refusal };
    const keeper = this.chooseTrackingHost(upstream);
    const result = registry.checkRegistration(registration, keeper);
    if (result !== 'stale') this.resetSilenceTimeout(upstream);
    if (result !== 'changed') {
      this.recordUncommitted(result, registration);
      return { ok: true, value: undefined };
    }
    return this.commitChange({ kind: 'register_upstream', registration, keeper });
  }

  /**
   * Marks an upstream as `gone`. `bornAt` names the incarnation; it is undefined when the upstream
   * did not send it. Fails like `acceptRegistration`.
   */
  async removeUpstream(upstream: string, bornAt: number | undefined): Promise<Result<void>> {
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
    [...this.announcementDueAt.keys()]
      .filter((upstream) => !names.has(upstream))
      .forEach((upstream) => {
        this.announcementDueAt.delete(upstream);
        this.announcementCounts.delete(upstream);
      });
    // An upstream whose announcements this host has just taken over gets the whole silence timeout.
    trackedUpstreams
      .filter(({ upstream }) => !this.announcementDueAt.has(upstream))
      .forEach(({ upstream }) => this.resetSilenceTimeout(upstream));
    const silent = trackedUpstreams.filter(
      ({ upstream }) => (this.announcementDueAt.get(upstream) ?? now) < now,
    );
    await Promise.all(
      silent.map(async ({ upstream, bornAt }) => {
        log.info('membership: the announcements of an upstream stopped', { upstream, bornAt });
        const command = { kind: 'remove_upstream', upstream, bornAt, state: 'silent' } as const;
        await this.commitChange(command);
      }),
    );
  }

  // One control host at a time tracks the announcements of an upstream; the address of that host is
  // stored as `keeper`. An upstream that calls the control hosts in turn would change the `keeper`
  // with each call, so a host takes over only after several announcements.
  private chooseTrackingHost(upstream: string): string {
    const { registry, ownAddress } = this.options;
    const announced = (this.announcementCounts.get(upstream) ?? 0) + 1;
    this.announcementCounts.set(upstream, announced);
    const current = registry.findUpstream(upstream)?.keeper;
    return current !== undefined && announced < announcementsToTakeOver ? current : ownAddress;
  }

  // The leader tracks the announcements in place of control hosts that it does not know.
  private isResponsible(keeper: string): boolean {
    const { ownAddress, isKnownHost, replica } = this.options;
    return keeper === ownAddress || (replica.role === 'leader' && !isKnownHost(keeper));
  }

  private resetSilenceTimeout(upstream: string): void {
    const { clock, silenceMs } = this.options;
    this.announcementDueAt.set(upstream, clock.now() + silenceMs);
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
    const committed = await forwarder.commitCommand(command, clock.now() + commitTimeoutMs);
    log.info('membership: a change of the registry was proposed', {
      change: command.kind,
      upstream,
      bornAt,
      state,
      outcome: committed.ok ? 'committed' : committed.failure.kind,
      effect:
        committed.ok && committed.value.kind === 'accepted'
          ? committed.value.registryEffect
          : undefined,
    });
    return committed.ok ? { ok: true, value: undefined } : committed;
  }
}
