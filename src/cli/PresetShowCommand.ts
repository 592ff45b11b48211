import { presetRecordResultSchema } from '../adapters/trpc/operatorMessages.ts';
import formatPreset from '../adapters/yaml/formatPreset.ts';
import type Result from '../domain/errors/Result.ts';
import type Command from './Command.ts';
import type { CommandContext, CommandOutput } from './Command.ts';

/** `preset show NAME` */
export default class PresetShowCommand implements Command {
  readonly name = 'preset show';

  readonly positionals = ['NAME'];

  readonly options = [];

  readonly help = ['Prints a preset as a YAML file that "preset put" accepts.'];

  async runCommand({ client, positionals }: CommandContext): Promise<Result<CommandOutput>> {
    const answer = await client.requestOperator({
      kind: 'query',
      path: 'preset.show',
      input: { name: positionals[0] },
      output: presetRecordResultSchema,
    });
    if (!answer.ok) return answer;
    const { revision, operator, preset } = answer.value;
    const text = formatPreset(preset).trimEnd();
    const notes = [`revision ${revision}, put by ${operator}`];
    return { ok: true, value: { value: answer.value, text, notes } };
  }
}
