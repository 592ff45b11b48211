import {
  presetListingResultSchema,
  presetRecordResultSchema,
} from '../adapters/trpc/operatorMessages.ts';
import parsePreset from '../adapters/yaml/parsePreset.ts';
import type Result from '../domain/errors/Result.ts';
import type InvalidValue from '../domain/presets/InvalidValue.ts';
import type Preset from '../domain/presets/Preset.ts';
import type KeyNames from '../domain/presets/check/KeyNames.ts';
import { listInvalidValues } from '../domain/presets/checkPreset.ts';
import type { CommandContext } from './Command.ts';
import type PresetFormat from './PresetFormat.ts';

/** Preset files that `preset put` stores. */
export default class YamlPresetFormat implements PresetFormat {
  readonly access = 'optional_operator';

  readonly keyNames: KeyNames = {
    entryHosts: 'entry_hosts',
    retryShare: 'retry_share',
    rampMs: 'ramp_ms',
    echoRequestId: 'echo_request_id',
    goodShare: 'good_share',
    withinMs: 'within_ms',
    deadlineMs: 'deadline_ms',
    maxBodyBytes: 'max_body_bytes',
    maxAnswerBytes: 'max_answer_bytes',
    isPublic: 'public',
    requestsPerSecond: 'requests_per_second',
  };

  decodePreset(file: string, text: string): Result<Preset> {
    return parsePreset(file, text);
  }

  listInvalidValues(preset: Preset): readonly InvalidValue[] {
    return listInvalidValues(preset);
  }

  async readActive({
    client,
  }: Pick<CommandContext, 'client'>): Promise<Result<Preset | undefined>> {
    const listed = await client.requestOperator({
      kind: 'query',
      path: 'preset.list',
      output: presetListingResultSchema,
    });
    if (!listed.ok) return listed;
    const { selection } = listed.value;
    if (!selection) return { ok: true, value: undefined };
    const shown = await client.requestOperator({
      kind: 'query',
      path: 'preset.show',
      input: { name: selection.name },
      output: presetRecordResultSchema,
    });
    return shown.ok ? { ok: true, value: shown.value.preset } : shown;
  }
}
