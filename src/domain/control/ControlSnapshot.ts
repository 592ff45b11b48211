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
 * Presets, change ids and claims as a JSON value: all of them, or a part. Each part has the horizon
 * and the selection.
 */
export default interface ControlSnapshot {
  readonly claims: ClaimRegistrySnapshot;
  readonly presets: PresetRegistrySnapshot;
  /** Set in the first part once there is one. */
  readonly numberedPreset?: NumberedPreset | undefined;
  /** Set in the first part once there are any. */
  readonly registry?: UpstreamRegistrySnapshot | undefined;
}
