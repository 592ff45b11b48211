import type Result from '../errors/Result.ts';
import type { AcceptedChange } from '../control/ControlCommand.ts';
import type { WinningChange } from '../errors/Failure.ts';
import type EarlierFleetSize from './EarlierFleetSize.ts';
import type Preset from './Preset.ts';

/** A stored preset and the change that stored it. */
export interface PresetRecord extends WinningChange {
  readonly name: string;
  readonly preset: Preset;
}

/** The choice of the active preset and the change that made it. */
export interface PresetSelection extends WinningChange {
  readonly name: string;
}

/** A change id and the first answer to it. */
export interface RememberedChange {
  readonly changeId: string;
  /** SHA-256 of the change, in hexadecimal. */
  readonly fingerprint: string;
  readonly result: Result<AcceptedChange>;
}

/** All presets, or a part of them, as a JSON value. */
export default interface PresetRegistrySnapshot {
  readonly presets: readonly PresetRecord[];
  readonly selection: PresetSelection | undefined;
  readonly earlierSizes: readonly EarlierFleetSize[];
  /** Oldest first. */
  readonly changes: readonly RememberedChange[];
}
