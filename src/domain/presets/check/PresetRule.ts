import type Preset from '../Preset.ts';
import type Finding from './Finding.ts';

/** One kind of check of a preset. */
export default interface PresetRule {
  listFindings(preset: Preset): readonly Finding[];
}
