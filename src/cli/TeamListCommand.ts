import { teamReportResultSchema } from '../adapters/trpc/operatorMessages.ts';
import type Result from '../domain/errors/Result.ts';
import type TeamCounts from '../domain/teams/TeamCounts.ts';
import type Command from './Command.ts';
import type { CommandContext, CommandOutput } from './Command.ts';
import formatTable from './formatTable.ts';

function countRefused({ refused }: TeamCounts): number {
  return Object.values(refused).reduce((sum, count) => sum + count, 0);
}

function describeReasons({ refused }: TeamCounts): string {
  return Object.entries(refused)
    .sort(([, first], [, second]) => second - first)
    .map(([kind, count]) => `${kind}=${count}`)
    .join(',');
}

/** `team list` */
export default class TeamListCommand implements Command {
  readonly name = 'team list';

  readonly positionals = [];

  readonly options = [];

  readonly help = [
    'Lists the teams of the active preset with their limits, and their requests on all entry hosts',
    'since each host started: those that were admitted, and those that were refused, by reason.',
  ];

  async runCommand({ client }: CommandContext): Promise<Result<CommandOutput>> {
    const answer = await client.requestOperator({
      kind: 'query',
      path: 'team.list',
      output: teamReportResultSchema,
    });
    if (!answer.ok) return answer;
    const { needsKeys, teams, withoutTeam, hosts, missingHosts } = answer.value;
    const rows = teams.map((team) => [
      team.name,
      team.priority ?? '',
      team.requestsPerSecond ?? '',
      team.burst,
      team.keys,
      team.admitted,
      countRefused(team),
      describeReasons(team),
    ]);
    const header = ['TEAM', 'PRIORITY', 'RATE', 'BURST', 'KEYS', 'ADMITTED', 'REFUSED', 'REASONS'];
    const notes = [
      ...(needsKeys ? [] : ['the active preset has no teams: requests need no key']),
      `without a team: admitted ${withoutTeam.admitted}, refused ${describeReasons(withoutTeam) || 0}`,
      `hosts: ${hosts.length}`,
      `missing: ${missingHosts.join(', ') || 'none'}`,
    ];
    return { ok: true, value: { value: answer.value, text: formatTable(header, rows), notes } };
  }
}
