import { presetStatusResultSchema } from '../adapters/trpc/operatorMessages.ts';
import type Result from '../domain/errors/Result.ts';
import type Command from './Command.ts';
import type { CommandContext, CommandOutput } from './Command.ts';
import formatTable from './formatTable.ts';

/** `preset status` */
export default class PresetStatusCommand implements Command {
  readonly name = 'preset status';

  readonly positionals = [];

  readonly options = [];

  readonly help = [
    'Shows the active revision of each host. Prints the active preset, the number of known entry',
    'hosts and the lagging hosts to standard error.',
  ];

  async runCommand({ client }: CommandContext): Promise<Result<CommandOutput>> {
    const answer = await client.requestOperator({
      kind: 'query',
      path: 'preset.status',
      output: presetStatusResultSchema,
    });
    if (!answer.ok) return answer;
    const { name, revision, entryHosts, hosts } = answer.value;
    const rows = hosts.map((host) => [
      host.host,
      host.role,
      host.failureDomain,
      host.state,
      host.presetName,
      host.revision,
      host.isLagging ? 'yes' : 'no',
    ]);
    const header = ['HOST', 'ROLE', 'DOMAIN', 'STATE', 'PRESET', 'REVISION', 'LAGS'];
    const lagging = hosts.filter(({ isLagging }) => isLagging).map(({ host }) => host);
    const known = hosts.filter(({ role }) => role === 'entry').length;
    const notes = [
      `active: ${name} at revision ${revision}`,
      `entry hosts: ${known} known of ${entryHosts}`,
      `lagging: ${lagging.length > 0 ? lagging.join(', ') : 'none'}`,
    ];
    return { ok: true, value: { value: answer.value, text: formatTable(header, rows), notes } };
  }
}
