import { acceptedResultSchema } from '../adapters/trpc/operatorMessages.ts';
import parsePreset from '../adapters/yaml/parsePreset.ts';
import type Result from '../domain/errors/Result.ts';
import checkPreset from '../domain/presets/checkPreset.ts';
import type Command from './Command.ts';
import type { CommandContext, CommandOutput } from './Command.ts';
import UsageError from './UsageError.ts';
import createChangeId from './createChangeId.ts';
import readRevision from './readRevision.ts';

/** `preset put NAME FILE` */
export default class PresetPutCommand implements Command {
  readonly name = 'preset put';

  readonly positionals = ['NAME', 'FILE'];

  readonly options = ['based-on', 'change-id'] as const;

  readonly help = [
    'Stores a preset from a YAML file.',
    '  --based-on REVISION  revision at which the preset last changed; 0 for a new one',
    '  --change-id ID       id of the change; must be the same when the change is resent',
  ];

  async runCommand(context: CommandContext): Promise<Result<CommandOutput>> {
    const [name = '', file = ''] = context.positionals;
    const basedOn = readRevision(context);
    const parsed = parsePreset(file, await context.readFile(file));
    if (!parsed.ok) throw new UsageError(parsed.failure.message);
    const checked = checkPreset(name, parsed.value);
    if (!checked.ok) throw new UsageError(`${file}: ${checked.failure.message}`);
    const changeId = createChangeId(context);
    const answer = await context.client.requestOperator({
      kind: 'mutation',
      path: 'preset.put',
      input: { name, basedOn, changeId, preset: checked.value },
      output: acceptedResultSchema,
    });
    if (!answer.ok) return answer;
    const { revision } = answer.value;
    const text = `preset "${name}" was put at revision ${revision}`;
    return { ok: true, value: { value: { name, revision, changeId }, text } };
  }
}
