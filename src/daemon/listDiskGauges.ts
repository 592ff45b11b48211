import type { GaugeSource } from '../adapters/metrics/PrometheusMetrics.ts';
import type ReportingDisk from '../application/replication/ReportingDisk.ts';

/** Lists the gauges for the data folder of a process. */
export default function listDiskGauges(
  disk: Pick<ReportingDisk, 'errorCount' | 'failingCount'>,
): readonly GaugeSource[] {
  return [
    {
      name: 'disk_errors',
      help: 'Calls of the data folder that failed.',
      readValue: () => disk.errorCount,
    },
    {
      name: 'disk_failing',
      help: 'Calls of the data folder whose last try failed.',
      readValue: () => disk.failingCount,
    },
  ];
}
