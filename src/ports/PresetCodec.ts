import type Result from '../domain/errors/Result.ts';
import type NumberedPreset from '../domain/presets/NumberedPreset.ts';
import type Preset from '../domain/presets/Preset.ts';

/** A decoded preset document. */
export interface DecodedPreset {
  readonly numbered: NumberedPreset;
  readonly preset: Preset;
}

/** Decodes the documents of numbered presets. */
export default interface PresetCodec {
  /** Decodes a document; the failure `preset_invalid` names the first invalid key. */
  decodePreset(document: string): Result<DecodedPreset>;
}
