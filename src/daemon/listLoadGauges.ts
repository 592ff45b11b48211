import type { GaugeSource } from '../adapters/metrics/PrometheusMetrics.ts';
import type LoadMonitor from '../application/metrics/LoadMonitor.ts';

/** Lists the gauges for the load of a process. */
export default function listLoadGauges(
  loadMonitor: Pick<LoadMonitor, 'maxDelayMs'>,
): readonly GaugeSource[] {
  return [
    {
      name: 'timer_delay_ms',
      help: 'Longest delay of a timer in the last 5 to 10 seconds, in milliseconds.',
      readValue: () => loadMonitor.maxDelayMs,
    },
  ];
}
