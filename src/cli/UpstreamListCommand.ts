import { upstreamListResultSchema } from '../adapters/trpc/operatorMessages.ts';
import type Result from '../domain/errors/Result.ts';
import type Command from './Command.ts';
import type { CommandContext, CommandOutput } from './Command.ts';
import formatTable from './formatTable.ts';

/** `upstream list` */
export default class UpstreamListCommand implements Command {
  readonly name = 'upstream list';

  readonly positionals = [];

  readonly options = [];

  readonly help = ['Lists the upstreams with their state and the end of their ejection.'];

  async runCommand({ client }: CommandContext): Promise<Result<CommandOutput>> {
    const answer = await client.requestOperator({
      kind: 'query',
      path: 'upstream.list',
      output: upstreamListResultSchema,
    });
    if (!answer.ok) return answer;
    const rows = answer.value.map((each) => [
      each.service,
      each.upstream,
      each.address,
      each.failureDomain,
      each.slots,
      each.state,
      each.ejectedUntil > 0 ? new Date(each.ejectedUntil).toISOString() : '',
    ]);
    const header = ['SERVICE', 'UPSTREAM', 'ADDRESS', 'DOMAIN', 'SLOTS', 'STATE', 'EJECTED-UNTIL'];
    return { ok: true, value: { value: answer.value, text: formatTable(header, rows) } };
  }
}
