import type ClaimBookSnapshot from '../claims/ClaimBookSnapshot.ts';
import type PresetBookSnapshot from '../presets/PresetBookSnapshot.ts';

/**
 * Presets, change ids and claims as a JSON value: all of them, or a part. Each part has the horizon
 * and the selection.
 */
export default interface ControlSnapshot {
  readonly claims: ClaimBookSnapshot;
  readonly presets: PresetBookSnapshot;
}
