import type ClaimBookSnapshot from '../claims/ClaimBookSnapshot.ts';
import type PresetBookSnapshot from '../presets/PresetBookSnapshot.ts';

/** Presets, change ids and claims as one JSON value. */
export default interface ControlSnapshot {
  readonly claims: ClaimBookSnapshot;
  readonly presets: PresetBookSnapshot;
}
