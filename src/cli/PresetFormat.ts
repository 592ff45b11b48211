import type Result from '../domain/errors/Result.ts';
import type InvalidValue from '../domain/presets/InvalidValue.ts';
import type Preset from '../domain/presets/Preset.ts';
import type KeyNames from '../domain/presets/check/KeyNames.ts';
import type { CommandContext, ServerAccess } from './Command.ts';

/** A kind of files that hold presets, and the control hosts that accept them. */
export default interface PresetFormat {
  readonly keyNames: KeyNames;
  /** What is needed to read the active preset; control hosts need not be given. */
  readonly access: Exclude<ServerAccess, 'operator'>;
  /** Decodes a file; the failure is that of a control host and names the first invalid key. */
  decodePreset(file: string, text: string): Result<Preset>;
  /** Lists the values that a control host refuses although the file can be decoded. */
  listInvalidValues(preset: Preset): readonly InvalidValue[];
  /** Reads the active preset from the control hosts; undefined when there is none. */
  readActive(
    context: Pick<CommandContext, 'client' | 'servers'>,
  ): Promise<Result<Preset | undefined>>;
}
