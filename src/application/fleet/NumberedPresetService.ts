import type ControlCommand from '../../domain/control/ControlCommand.ts';
import type { ControlReply } from '../../domain/control/ControlCommand.ts';
import type ControlStateMachine from '../../domain/control/ControlStateMachine.ts';
import type Result from '../../domain/errors/Result.ts';
import type NumberedPreset from '../../domain/presets/NumberedPreset.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import type CommandLog from '../replication/CommandLog.ts';

// Operators try another control host after a second without an answer.
const commitTimeoutMs = 900;

/** What the service needs. */
export interface NumberedPresetServiceOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly commandLog: CommandLog<ControlCommand, ControlReply>;
  readonly state: Pick<ControlStateMachine, 'numberedPreset'>;
}

/** Puts numbered presets in force and reads the one that is. */
export default class NumberedPresetService {
  private readonly options: NumberedPresetServiceOptions;

  constructor(options: NumberedPresetServiceOptions) {
    this.options = options;
  }

  /**
   * Accepts a preset; one whose number is not above the one in force changes nothing. `not_leader`
   * names the host to ask instead; `no_quorum` means that the preset may still be accepted.
   */
  async putPreset(preset: NumberedPreset): Promise<Result<void>> {
    const { clock, log, commandLog, state } = this.options;
    const { number } = preset;
    // A committed preset never gives way to a lower number, so no majority has to be asked.
    if (number <= (state.numberedPreset?.number ?? -Infinity)) {
      log.info('presets: a preset was overtaken', {
        number,
        inForce: state.numberedPreset?.number,
      });
      return { ok: true, value: undefined };
    }
    const committed = await commandLog.proposeCommand(
      { kind: 'put_numbered_preset', ...preset },
      clock.now() + commitTimeoutMs,
    );
    log.info('presets: a preset was proposed', {
      number,
      outcome: committed.ok ? 'committed' : committed.failure.kind,
    });
    return committed.ok ? { ok: true, value: undefined } : committed;
  }

  /** The preset in force, by a read that a majority confirms. */
  async readPreset(): Promise<Result<NumberedPreset>> {
    const { clock, commandLog, state } = this.options;
    const confirmed = await commandLog.confirmRead(clock.now() + commitTimeoutMs);
    if (!confirmed.ok) return confirmed;
    if (state.numberedPreset) return { ok: true, value: state.numberedPreset };
    const message = 'read the numbered preset: none was accepted yet';
    return { ok: false, failure: { kind: 'preset_unknown', message } };
  }
}
