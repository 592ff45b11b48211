import type BurnReport from '../domain/metrics/BurnReport.ts';
import type { ServiceBurnReport } from '../domain/metrics/BurnReport.ts';
import { burnWindows } from '../domain/metrics/BurnWindow.ts';

// Sizes in the units of the plot's `viewBox`.
const barHeight = 14;
const rowHeight = 84;
const labelWidth = 170;
const plotWidth = 520;
const colours = ['#1b6ca8', '#3f9b6e', '#c98a1b', '#8a5aa8'];

function formatText(text: string): string {
  return text.replace(/[&<>"']/g, (character) => `&#${character.charCodeAt(0)};`);
}

function renderService(service: ServiceBurnReport, row: number, highestRate: number): string {
  const top = 24 + row * rowHeight;
  const label = `<text x="0" y="${top + 30}" font-weight="bold">${formatText(service.service)}</text>`;
  const bars = burnWindows.map((window, index) => {
    const rate = service.burnRates[window];
    const y = top + index * (barHeight + 3);
    const width = (plotWidth * rate) / highestRate;
    return [
      `<rect x="${labelWidth}" y="${y}" width="${width.toFixed(1)}" height="${barHeight}" fill="${colours[index]}"/>`,
      `<text x="${(labelWidth + width + 6).toFixed(1)}" y="${y + 11}">${window} ${rate.toFixed(2)}</text>`,
    ].join('');
  });
  return label + bars.join('');
}

function renderPlot({ services }: BurnReport): string {
  // At least 1.25, so that the line at burn rate 1 is always inside the plot.
  const highestRate = Math.max(
    1.25,
    ...services.flatMap(({ burnRates }) => Object.values(burnRates)),
  );
  const height = 40 + services.length * rowHeight;
  const limitX = labelWidth + plotWidth / highestRate;
  const rows = services.map((service, row) => renderService(service, row, highestRate));
  return [
    `<svg viewBox="0 0 820 ${height}" role="img" aria-label="Burn rates by service and window">`,
    ...rows,
    `<line x1="${limitX}" y1="10" x2="${limitX}" y2="${height}" stroke="#b00" stroke-dasharray="4"/>`,
    `<text x="${limitX + 4}" y="12" fill="#b00">burn rate 1: budget spent exactly</text>`,
    '</svg>',
  ].join('\n');
}

function renderRow(service: ServiceBurnReport): string {
  const { good, bad } = service.counts['3d'];
  const cells = [
    formatText(service.service),
    `${(100 * service.goodShare).toFixed(3)}% within ${service.withinMs} ms`,
    String(good + bad),
    String(bad),
    `${(100 * service.budgetLeft).toFixed(1)}%`,
    ...burnWindows.map((window) => service.burnRates[window].toFixed(2)),
    service.latency.p50.toFixed(1),
    service.latency.p99.toFixed(1),
  ];
  return `<tr>${cells.map((cell) => `<td>${cell}</td>`).join('')}</tr>`;
}

/** Renders the burn report as one self-contained HTML page. */
export default function renderBurnPage(report: BurnReport): string {
  const headers = [
    ...['Service', 'Objective', 'Requests', 'Bad', 'Budget left'],
    ...burnWindows.map((window) => `Burn ${window}`),
    ...['p50 ms', 'p99 ms'],
  ];
  const missing =
    report.missingHosts.length > 0
      ? `<p><strong>Hosts that could not be queried:</strong> ${formatText(report.missingHosts.join(', '))}</p>`
      : '';
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font: 14px sans-serif; margin: 2em auto; max-width: 60em; color: #222; }
table { border-collapse: collapse; width: 100%; }
th, td { border-bottom: 1px solid #ccc; padding: 4px 8px; text-align: right; }
th:first-child, td:first-child { text-align: left; }
svg { font: 12px sans-serif; width: 100%; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>${new Date(report.createdAt).toISOString()}, merged over ${report.hosts.length} entry hosts.</p>
${missing}
<table>
<tr>${headers.map((header) => `<th>${header}</th>`).join('')}</tr>
${report.services.map(renderRow).join('\n')}
</table>
<h2>Burn rate by window</h2>
${renderPlot(report)}
</body>
</html>
`;
}
