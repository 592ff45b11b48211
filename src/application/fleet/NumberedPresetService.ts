import type ControlCommand from '../../domain/control/ControlCommand.ts';
import type { ControlReply } from '../../domain/control/ControlCommand.ts';
import type ControlStateMachine from '../../domain/control/ControlStateMachine.ts';
import type Result from '../../domain/errors/Result.ts';
import type NumberedPreset from '../../domain/presets/NumberedPreset.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import type CommandLog from '../replication/CommandLog.ts';

// Operators call another control host after 1 s without an answer.
const commitTimeoutMs = 900;

/** Options of the service. */
export interface NumberedPresetServiceOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly commandLog: CommandLog<ControlCommand, ControlReply>;
  readonly state: Pick<ControlStateMachine, 'numberedPreset'>;
}

/** Accepts numbered presets and reads the active one. */
export default class NumberedPresetService {
  private readonly options: NumberedPresetServiceOptions;

  constructor(options: NumberedPresetServiceOptions) {
    this.options = options;
  }

  /**
   * Commits a preset; one whose number is not above that of the active preset changes nothing. A
   * `not_leader` failure names the leader to call instead; after `no_quorum` the preset may still
   * be accepted.
   */
  async putPreset(preset: NumberedPreset): Promise<Result<void>> {
    const { clock, log, commandLog, state } = this.options;
    const { number } = preset;
    // A committed preset is never replaced by a lower number, so this needs no majority.
    if (number <= (state.numberedPreset?.number ?? -Infinity)) {
      log.info('presets: ignored an outdated preset', {
        number,
        inForce: state.numberedPreset?.number,
      });
      return { ok: true, value: undefined };
    }
    const startedAt = clock.now();
    const committed = await commandLog.proposeCommand(
      { kind: 'put_numbered_preset', ...preset },
      startedAt + commitTimeoutMs,
    );
    log.info('presets: a preset was proposed', {
      number,
      outcome: committed.ok ? 'committed' : committed.failure.kind,
      tookMs: Math.round(clock.now() - startedAt),
      detail: committed.ok ? undefined : committed.failure.message,
    });
    return committed.ok ? { ok: true, value: undefined } : committed;
  }

  /** Returns the active preset by a read that a majority confirms. */
  async readPreset(): Promise<Result<NumberedPreset>> {
    const { clock, commandLog, state } = this.options;
    const confirmed = await commandLog.confirmRead(clock.now() + commitTimeoutMs);
    if (!confirmed.ok) return confirmed;
    if (state.numberedPreset) return { ok: true, value: state.numberedPreset };
    const message = 'read the numbered preset: none was accepted yet; expected one to be put first';
    return { ok: false, failure: { kind: 'preset_unknown', message } };
  }
}
