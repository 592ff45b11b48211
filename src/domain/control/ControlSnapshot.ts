import type ClaimBookSnapshot from '../claims/ClaimBookSnapshot.ts';
import type RegisteredUpstream from '../membership/RegisteredUpstream.ts';
import type NumberedPreset from '../presets/NumberedPreset.ts';
import type PresetBookSnapshot from '../presets/PresetBookSnapshot.ts';

/** The registered upstreams as a JSON value. */
export interface RegistrySnapshot {
  readonly records: readonly RegisteredUpstream[];
  readonly oldestKnownChange: number;
}

/**
 * Presets, change ids and claims as a JSON value: all of them, or a part. Each part has the horizon
 * and the selection.
 */
export default interface ControlSnapshot {
  readonly claims: ClaimBookSnapshot;
  readonly presets: PresetBookSnapshot;
  /** Set in the first part once there is one. */
  readonly numberedPreset?: NumberedPreset | undefined;
  /** Set in the first part once there are any. */
  readonly registry?: RegistrySnapshot | undefined;
}
