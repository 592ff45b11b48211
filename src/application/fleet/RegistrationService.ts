import type { RegisterUpstream, RemoveUpstream } from '../../domain/control/ControlCommand.ts';
import type Failure from '../../domain/errors/Failure.ts';
import type Result from '../../domain/errors/Result.ts';
import type { Registration } from '../../domain/membership/RegisteredUpstream.ts';
import type UpstreamRegistry from '../../domain/membership/UpstreamRegistry.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import type CommandForwarder from './CommandForwarder.ts';

// Upstreams call another control host after a second without an answer.
const commitTimeoutMs = 900;
const sweepIntervalMs = 1000;
const callsToKeep = 3;

/** What a control host knows of a service. */
export type ServiceStanding = 'known' | 'unknown' | 'undecided';

/** What the service needs. */
export interface RegistrationServiceOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly registry: UpstreamRegistry;
  readonly forwarder: CommandForwarder;
  /** Peers address of this control host. */
  readonly ownAddress: string;
  /** Whether the control host with this peers address is known. */
  readonly isKnownHost: (address: string) => boolean;
  readonly isLeading: () => boolean;
  /** Whether the preset in force names the service; `undecided` before the first preset. */
  readonly checkService: (service: string) => ServiceStanding;
  /** An upstream that says nothing for this long is taken for gone, in milliseconds. */
  readonly silenceMs: number;
}

/** Takes the announcements of upstreams at a control host. */
export default class RegistrationService {
  private readonly options: RegistrationServiceOptions;

  /** Until when an upstream that announces itself here may be silent. */
  private readonly silentUntil = new Map<string, number>();

  /** Announcements that this host received. */
  private readonly announcementCounts = new Map<string, number>();

  constructor(options: RegistrationServiceOptions) {
    this.options = options;
  }

  /**
   * Resolves once the announcement holds: at once when it says nothing new, or else when it was
   * committed. `no_quorum` and `not_leader` mean that another control host may manage.
   */
  async acceptRegistration(registration: Registration): Promise<Result<void>> {
    const { registry, log } = this.options;
    const { upstream, service } = registration;
    const refusal = this.findRefusal(upstream, service);
    if (refusal) return { ok: false, failure: refusal };
    const keeper = this.chooseKeeper(upstream);
    const result = registry.checkRegistration(registration, keeper);
    if (result === 'stale') {
      log.info('membership: an announcement is older than what is known', {
        upstream,
        sequence: registration.sequence,
      });
      return { ok: true, value: undefined };
    }
    this.renewSilence(upstream);
    if (result === 'unchanged') return { ok: true, value: undefined };
    return this.commitChange({ kind: 'register_upstream', registration, keeper });
  }

  /** Takes the run of an upstream for gone. `bornAt` is undefined when the upstream did not say. */
  async removeUpstream(upstream: string, bornAt: number | undefined): Promise<Result<void>> {
    const current = this.options.registry.findUpstream(upstream);
    if (!current || current.state === 'gone') return { ok: true, value: undefined };
    return this.commitChange({
      kind: 'remove_upstream',
      upstream,
      bornAt: bornAt ?? current.bornAt,
      state: 'gone',
    });
  }

  /** Takes upstreams that fell silent for gone until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      await clock.sleepUntil(clock.now() + sweepIntervalMs, signal);
      if (!signal.aborted) await this.removeSilent();
    }
  }

  private findRefusal(upstream: string, service: string): Failure | undefined {
    const standing = this.options.checkService(service);
    if (standing === 'known') return undefined;
    const call = `announcement of "${upstream}": service "${service}"`;
    return standing === 'undecided'
      ? { kind: 'host_not_ready', message: `${call}: this host knows no preset yet` }
      : { kind: 'announcement_invalid', message: `${call}: expected a service of the preset` };
  }

  private async removeSilent(): Promise<void> {
    const { clock, registry, log } = this.options;
    const now = clock.now();
    const kept = registry
      .listUpstreams()
      .filter(({ keeper, state }) => state !== 'silent' && this.isKeeper(keeper));
    const names = new Set(kept.map(({ upstream }) => upstream));
    [...this.silentUntil.keys()]
      .filter((upstream) => !names.has(upstream))
      .forEach((upstream) => {
        this.silentUntil.delete(upstream);
        this.announcementCounts.delete(upstream);
      });
    // An upstream that this host has just begun to keep gets the whole time.
    kept
      .filter(({ upstream }) => !this.silentUntil.has(upstream))
      .forEach(({ upstream }) => this.renewSilence(upstream));
    const silent = kept.filter(({ upstream }) => (this.silentUntil.get(upstream) ?? now) < now);
    await Promise.all(
      silent.map(async ({ upstream, bornAt }) => {
        log.info('membership: an upstream fell silent', { upstream, bornAt });
        const command = { kind: 'remove_upstream', upstream, bornAt, state: 'silent' } as const;
        await this.commitChange(command);
      }),
    );
  }

  // An upstream that calls one host after the other would change its keeper with each call. It is
  // taken over by a host that it stays with.
  private chooseKeeper(upstream: string): string {
    const { registry, ownAddress } = this.options;
    const announced = (this.announcementCounts.get(upstream) ?? 0) + 1;
    this.announcementCounts.set(upstream, announced);
    const current = registry.findUpstream(upstream)?.keeper;
    return current !== undefined && announced < callsToKeep ? current : ownAddress;
  }

  // The leader stands in for control hosts that are gone.
  private isKeeper(keeper: string): boolean {
    const { ownAddress, isKnownHost, isLeading } = this.options;
    return keeper === ownAddress || (isLeading() && !isKnownHost(keeper));
  }

  private renewSilence(upstream: string): void {
    const { clock, silenceMs } = this.options;
    this.silentUntil.set(upstream, clock.now() + silenceMs);
  }

  private async commitChange(command: RegisterUpstream | RemoveUpstream): Promise<Result<void>> {
    const { clock, forwarder, log } = this.options;
    const { upstream, state } =
      command.kind === 'register_upstream' ? command.registration : command;
    const committed = await forwarder.commitCommand(command, clock.now() + commitTimeoutMs);
    log.info('membership: an announcement changed the registry', {
      change: command.kind,
      upstream,
      state,
      outcome: committed.ok ? 'committed' : committed.failure.kind,
    });
    return committed.ok ? { ok: true, value: undefined } : committed;
  }
}
