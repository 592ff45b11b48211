import type RequestDialect from '../application/requests/RequestDialect.ts';
import type { FleetEntrySettings } from '../domain/settings/FleetSettings.ts';
import type Clock from '../ports/Clock.ts';
import type Log from '../ports/Log.ts';
import type PresetCodec from '../ports/PresetCodec.ts';
import type RandomSource from '../ports/RandomSource.ts';

/** Options of an entry host in a fleet whose hosts discover each other through seeds. */
export default interface FleetEntryOptions {
  readonly settings: FleetEntrySettings;
  /** Returns the settings as last read from the file. */
  readonly readSettings: () => Pick<FleetEntrySettings, 'seeds'>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly dialect: RequestDialect;
  readonly codec: PresetCodec;
  /** Aborts when the host is asked to stop, also while it starts. */
  readonly stopSignal: AbortSignal;
  /** An address that is in use at this time is refused. */
  readonly addressDeadline: number;
}
