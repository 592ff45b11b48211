import type EarlierFleetSize from './EarlierFleetSize.ts';
import type Preset from './Preset.ts';

/** The active preset at a committed revision; a higher revision of the same group replaces it. */
export default interface PresetState {
  /** Random id of the control group that committed the revision. */
  readonly groupId: string;
  readonly revision: number;
  readonly name: string;
  readonly preset: Preset;
  /** Other values of `fleet.entry_hosts` that were active in the last day; none when undefined. */
  readonly earlierSizes?: readonly EarlierFleetSize[] | undefined;
}
