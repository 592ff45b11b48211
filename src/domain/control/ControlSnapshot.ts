import type ClaimRegistrySnapshot from '../claims/ClaimRegistrySnapshot.ts';
import type RegisteredUpstream from '../membership/RegisteredUpstream.ts';
import type NumberedPreset from '../presets/NumberedPreset.ts';
import type PresetRegistrySnapshot from '../presets/PresetRegistrySnapshot.ts';

/** The registered upstreams as a JSON value. */
export interface UpstreamRegistrySnapshot {
  readonly records: readonly RegisteredUpstream[];
  readonly oldestKnownChange: number;
}

/**
 * All presets, change ids and claims, or a part of them, as a JSON value. Each part contains the
 * horizon of the claims and the selection of the preset.
 */
export default interface ControlSnapshot {
  readonly claims: ClaimRegistrySnapshot;
  readonly presets: PresetRegistrySnapshot;
  /** Set in the first part once a numbered preset is active. */
  readonly numberedPreset?: NumberedPreset | undefined;
  /** Set in the first part; missing in snapshots of releases that had no upstream registry. */
  readonly registry?: UpstreamRegistrySnapshot | undefined;
}
