import type { FleetControlSettings } from '../domain/settings/FleetSettings.ts';
import type Clock from '../ports/Clock.ts';
import type Log from '../ports/Log.ts';
import type PresetCodec from '../ports/PresetCodec.ts';
import type RandomSource from '../ports/RandomSource.ts';

/** Options of a control host in a fleet whose hosts discover each other through seeds. */
export default interface FleetControlOptions {
  readonly settings: FleetControlSettings;
  /** Returns the settings as last read from the file. */
  readonly readSettings: () => Pick<FleetControlSettings, 'seeds'>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly codec: PresetCodec;
  /** Aborts when the host is asked to stop, also while it starts. */
  readonly stopSignal: AbortSignal;
  /** An address that is in use at this time is refused. */
  readonly addressDeadline: number;
}
