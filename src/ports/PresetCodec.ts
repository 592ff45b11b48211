import type Result from '../domain/errors/Result.ts';
import type NumberedPreset from '../domain/presets/NumberedPreset.ts';
import type Preset from '../domain/presets/Preset.ts';

/** A document that could be read. */
export interface DecodedPreset {
  readonly numbered: NumberedPreset;
  readonly preset: Preset;
}

/** Reads the documents of numbered presets. */
export default interface PresetCodec {
  /** `preset_invalid` names the first wrong key. */
  decodePreset(document: string): Result<DecodedPreset>;
}
