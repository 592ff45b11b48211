import { burnReportResultSchema } from '../adapters/trpc/operatorMessages.ts';
import type Result from '../domain/errors/Result.ts';
import { burnWindows } from '../domain/metrics/BurnWindow.ts';
import type Command from './Command.ts';
import type { CommandContext, CommandOutput } from './Command.ts';
import formatTable from './formatTable.ts';
import renderBurnPage from './renderBurnPage.ts';

/** `report burn` */
export default class ReportBurnCommand implements Command {
  readonly name = 'report burn';

  readonly positionals = [];

  readonly options = ['html'] as const;

  readonly help = [
    'Reports how fast each service burns its error budget, merged over all entry hosts. A burn',
    'rate of 1 spends the budget exactly by the end of the window; BUDGET is the remaining part.',
    '  --html FILE  also writes the report as one HTML page with a plot',
  ];

  async runCommand({ client, values, writeFile }: CommandContext): Promise<Result<CommandOutput>> {
    const answer = await client.requestOperator({
      kind: 'query',
      path: 'report.burn',
      output: burnReportResultSchema,
    });
    if (!answer.ok) return answer;
    const report = answer.value;
    if (values.html !== undefined) await writeFile(values.html, renderBurnPage(report));
    const rows = report.services.map((service) => [
      service.service,
      String(service.goodShare),
      service.withinMs,
      service.counts['3d'].good + service.counts['3d'].bad,
      `${(100 * service.budgetLeft).toFixed(1)}%`,
      ...burnWindows.map((window) => service.burnRates[window].toFixed(2)),
      service.latency.p99.toFixed(1),
    ]);
    const header = ['SERVICE', 'OBJECTIVE', 'WITHIN-MS', 'REQUESTS', 'BUDGET'];
    const rates = burnWindows.map((window) => `BURN-${window.toUpperCase()}`);
    const text = formatTable([...header, ...rates, 'P99-MS'], rows);
    const missing = report.missingHosts.join(', ') || 'none';
    const notes = [`hosts: ${report.hosts.length}`, `missing: ${missing}`];
    return { ok: true, value: { value: report, text, notes } };
  }
}
