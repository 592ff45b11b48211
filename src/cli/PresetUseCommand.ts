import { acceptedResultSchema } from '../adapters/trpc/operatorMessages.ts';
import type Result from '../domain/errors/Result.ts';
import type Command from './Command.ts';
import type { CommandContext, CommandOutput } from './Command.ts';
import createChangeId from './createChangeId.ts';
import readRevision from './readRevision.ts';

/** `preset use NAME` */
export default class PresetUseCommand implements Command {
  readonly name = 'preset use';

  readonly positionals = ['NAME'];

  readonly options = ['based-on', 'change-id'] as const;

  readonly help = [
    'Makes a stored preset the active one on every host.',
    '  --based-on REVISION  revision at which the selection last changed; 0 for the first one',
    '  --change-id ID       id of the change; must be the same when the change is resent',
  ];

  async runCommand(context: CommandContext): Promise<Result<CommandOutput>> {
    const [name = ''] = context.positionals;
    const basedOn = readRevision(context);
    const changeId = createChangeId(context);
    const answer = await context.client.requestOperator({
      kind: 'mutation',
      path: 'preset.use',
      input: { name, basedOn, changeId },
      output: acceptedResultSchema,
    });
    if (!answer.ok) return answer;
    const { revision } = answer.value;
    const text = `preset "${name}" is active at revision ${revision}`;
    return { ok: true, value: { value: { name, revision, changeId }, text } };
  }
}
