import type ListenerConnections from '../adapters/http/ListenerConnections.ts';
import type UndiciUpstreamClient from '../adapters/http/UndiciUpstreamClient.ts';
import PrometheusMetrics from '../adapters/metrics/PrometheusMetrics.ts';
import listConnectionGauges from './listConnectionGauges.ts';
import listEntryGauges from './listEntryGauges.ts';
import type { GaugedEntryHost } from './listEntryGauges.ts';
import listUpstreamGauges from './listUpstreamGauges.ts';

/** State of an entry host that its metrics report. */
export interface MeasuredEntryHost extends GaugedEntryHost {
  readonly connections: readonly ListenerConnections[];
  readonly upstreamClient: UndiciUpstreamClient;
}

/** Creates the metrics of an entry host in a fleet that is found through seeds. */
export default function createEntryMetrics(host: MeasuredEntryHost): PrometheusMetrics {
  const gauges = [
    ...listEntryGauges(host),
    ...listConnectionGauges(host.connections),
    ...listUpstreamGauges(host.upstreamClient),
  ];
  return new PrometheusMetrics(gauges, { hasProcessMetrics: false });
}
