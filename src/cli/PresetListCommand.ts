import { presetListingResultSchema } from '../adapters/trpc/operatorMessages.ts';
import type Result from '../domain/errors/Result.ts';
import type Command from './Command.ts';
import type { CommandContext, CommandOutput } from './Command.ts';
import formatTable from './formatTable.ts';

/** `preset list` */
export default class PresetListCommand implements Command {
  readonly name = 'preset list';

  readonly positionals = [];

  readonly options = [];

  readonly help = [
    'Lists the presets. Use REVISION as --based-on of "preset put". The revision of the selection,',
    'which is printed to standard error, is the --based-on of "preset use".',
  ];

  async runCommand({ client }: CommandContext): Promise<Result<CommandOutput>> {
    const answer = await client.requestOperator({
      kind: 'query',
      path: 'preset.list',
      output: presetListingResultSchema,
    });
    if (!answer.ok) return answer;
    const { presets, selection } = answer.value;
    const rows = presets.map(({ name, revision, operator }) => [
      name,
      revision,
      operator,
      name === selection?.name ? 'yes' : 'no',
    ]);
    const text = formatTable(['NAME', 'REVISION', 'OPERATOR', 'ACTIVE'], rows);
    const notes = [`selection: revision ${selection?.revision ?? 0}`];
    return { ok: true, value: { value: answer.value, text, notes } };
  }
}
