import { burnReportResultSchema } from '../adapters/trpc/operatorMessages.ts';
import type Result from '../domain/errors/Result.ts';
import type Command from './Command.ts';
import type { CommandContext, CommandOutput } from './Command.ts';
import formatTable from './formatTable.ts';

const minuteMs = 60_000;

/** `report burn` */
export default class ReportBurnCommand implements Command {
  readonly name = 'report burn';

  readonly positionals = [];

  readonly options = [];

  readonly help = [
    'Reports how fast each service uses up its error budget; at a burn rate of 1 it lasts',
    'exactly as long as the objective allows.',
  ];

  async runCommand({ client }: CommandContext): Promise<Result<CommandOutput>> {
    const answer = await client.requestOperator({
      kind: 'query',
      path: 'report.burn',
      output: burnReportResultSchema,
    });
    if (!answer.ok) return answer;
    const rows = answer.value.flatMap(({ service, objective, windows }) =>
      windows.map((window) => [
        service,
        String(objective.goodShare),
        objective.withinMs,
        window.windowMs / minuteMs,
        window.requests,
        window.goodShare.toFixed(5),
        window.burnRate.toFixed(2),
      ]),
    );
    const header = ['SERVICE', 'OBJECTIVE', 'WITHIN-MS', 'MINUTES', 'REQUESTS', 'GOOD', 'BURN'];
    return { ok: true, value: { value: answer.value, text: formatTable(header, rows) } };
  }
}
