import { serviceListResultSchema } from '../adapters/trpc/operatorMessages.ts';
import type Result from '../domain/errors/Result.ts';
import type Command from './Command.ts';
import type { CommandContext, CommandOutput } from './Command.ts';
import formatTable from './formatTable.ts';

/** `service list` */
export default class ServiceListCommand implements Command {
  readonly name = 'service list';

  readonly positionals = [];

  readonly options = [];

  readonly help = [
    'Lists the services of the active preset with their current numbers of upstreams.',
  ];

  async runCommand({ client }: CommandContext): Promise<Result<CommandOutput>> {
    const answer = await client.requestOperator({
      kind: 'query',
      path: 'service.list',
      output: serviceListResultSchema,
    });
    if (!answer.ok) return answer;
    const rows = answer.value.map((each) => [
      each.service,
      each.detection,
      each.upstreams,
      each.floor,
      each.serving,
      each.ejected,
    ]);
    const header = ['SERVICE', 'DETECTION', 'UPSTREAMS', 'FLOOR', 'SERVING', 'EJECTED'];
    return { ok: true, value: { value: answer.value, text: formatTable(header, rows) } };
  }
}
