import type ControlCommand from '../../domain/control/ControlCommand.ts';
import type {
  AcceptedChange,
  ControlReply,
  PutPreset,
  UsePreset,
} from '../../domain/control/ControlCommand.ts';
import type Result from '../../domain/errors/Result.ts';
import type PresetRegistry from '../../domain/presets/PresetRegistry.ts';
import type { PresetRecord, PresetSelection } from '../../domain/presets/PresetRegistrySnapshot.ts';
import type PresetState from '../../domain/presets/PresetState.ts';
import checkPreset from '../../domain/presets/checkPreset.ts';
import type Clock from '../../ports/Clock.ts';
import type CommandLog from '../replication/CommandLog.ts';
import Notifier from '../tasks/Notifier.ts';
import type PresetSource from './PresetSource.ts';

// Limits how long a stopping host waits for the task that watches the log.
const maxWaitMs = 1000;

/** Options of the service. */
export interface PresetServiceOptions {
  readonly clock: Clock;
  readonly log: CommandLog<ControlCommand, ControlReply>;
  /** The presets in the state machine of this replica. */
  readonly presets: PresetRegistry;
}

/** All presets as operators see them. */
export interface PresetListing {
  /** Sorted by name. */
  readonly presets: readonly Omit<PresetRecord, 'preset'>[];
  readonly selection: PresetSelection | undefined;
  /** Revision that every host should have; 0 when no preset was ever active. */
  readonly activeRevision: number;
}

/** Changes and reads presets through the replicated log of the control group. */
export default class PresetService implements PresetSource {
  private readonly options: PresetServiceOptions;

  private readonly activation: Notifier;

  constructor(options: PresetServiceOptions) {
    this.options = options;
    this.activation = new Notifier(options.clock);
  }

  /**
   * Wakes the watchers when the active preset changes, until the signal aborts. The composition
   * root awaits the promise. Claims are committed far more often than presets, and every entry host
   * watches, so waking each watcher after each commit would load the control host.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log } = this.options;
    let notifiedRevision = this.getState()?.revision;
    while (!signal.aborted) {
      const { appliedIndex } = log;
      const revision = this.getState()?.revision;
      if (revision !== notifiedRevision) this.activation.notify();
      notifiedRevision = revision;
      await log.waitApplied(appliedIndex, clock.now() + maxWaitMs);
    }
  }

  /**
   * Stores a preset. A failure of kind `no_quorum` means that the change may still be accepted; to
   * get the result, send the change again with the same change id.
   */
  async putPreset(
    change: Omit<PutPreset, 'kind'>,
    deadline: number,
  ): Promise<Result<AcceptedChange>> {
    const checked = checkPreset(change.name, change.preset);
    return checked.ok ? this.proposeChange({ ...change, kind: 'put_preset' }, deadline) : checked;
  }

  /** Makes a stored preset the active one. */
  usePreset(change: Omit<UsePreset, 'kind'>, deadline: number): Promise<Result<AcceptedChange>> {
    return this.proposeChange({ ...change, kind: 'use_preset' }, deadline);
  }

  /** A linearizable list of the presets; only the leader can answer. */
  async listPresets(deadline: number): Promise<Result<PresetListing>> {
    const { log, presets } = this.options;
    const confirmed = await log.confirmRead(deadline);
    if (!confirmed.ok) return confirmed;
    const listing = {
      presets: presets.listPresets().map(({ name, revision, operator, changeId }) => ({
        name,
        revision,
        operator,
        changeId,
      })),
      selection: presets.getSelection(),
      activeRevision: presets.getActive()?.revision ?? 0,
    };
    return { ok: true, value: listing };
  }

  /** A linearizable read of one preset; only the leader can answer. */
  async showPreset(name: string, deadline: number): Promise<Result<PresetRecord>> {
    const { log, presets } = this.options;
    const confirmed = await log.confirmRead(deadline);
    if (!confirmed.ok) return confirmed;
    const record = presets.findPreset(name);
    if (record) return { ok: true, value: record };
    const names = presets.listPresets().map((known) => known.name);
    const message = `show preset "${name}": no such preset; expected one of ${names.join(', ')}`;
    return { ok: false, failure: { kind: 'preset_unknown', message } };
  }

  /**
   * Returns the newest state with a revision above the given one; undefined at the deadline.
   * Without `run`, a change during the wait is noticed only at the deadline.
   */
  async watchState(afterRevision: number, deadline: number): Promise<PresetState | undefined> {
    let state = this.getState();
    while ((state?.revision ?? 0) <= afterRevision && this.options.clock.now() < deadline) {
      await this.activation.waitUntil(deadline);
      state = this.getState();
    }
    return state && state.revision > afterRevision ? state : undefined;
  }

  async confirmState(deadline: number): Promise<Result<PresetState>> {
    const confirmed = await this.options.log.confirmRead(deadline);
    if (!confirmed.ok) return confirmed;
    const state = this.getState();
    if (state) return { ok: true, value: state };
    const message = 'confirm the active preset: no preset is active; expected one to be in use';
    return { ok: false, failure: { kind: 'preset_unknown', message } };
  }

  private getState(): PresetState | undefined {
    const { log, presets } = this.options;
    const active = presets.getActive();
    if (!active || log.groupId === undefined) return undefined;
    return { groupId: log.groupId, ...active, earlierSizes: presets.listEarlierFleetSizes() };
  }

  private async proposeChange(
    change: PutPreset | UsePreset,
    deadline: number,
  ): Promise<Result<AcceptedChange>> {
    const committed = await this.options.log.proposeCommand(change, deadline);
    if (!committed.ok) return committed;
    if (committed.value.kind === 'preset_change') return committed.value.result;
    const message = `${change.kind} "${change.name}": the reply is of kind ${committed.value.kind}; expected preset_change`;
    return { ok: false, failure: { kind: 'internal', message } };
  }
}
