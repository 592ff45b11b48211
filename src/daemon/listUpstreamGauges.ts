import type UndiciUpstreamClient from '../adapters/http/UndiciUpstreamClient.ts';
import type { GaugeSource } from '../adapters/metrics/PrometheusMetrics.ts';

/** Lists the gauges for the connections of an entry host to upstreams. */
export default function listUpstreamGauges(
  client: Pick<UndiciUpstreamClient, 'openedCount' | 'reusedCount' | 'idleCount'>,
): readonly GaugeSource[] {
  return [
    {
      name: 'upstream_connections_opened',
      help: 'Connections to upstreams that this host has opened.',
      readValue: () => client.openedCount,
    },
    {
      name: 'upstream_connections_reused',
      help: 'Requests that this host has sent on a connection that was open before.',
      readValue: () => client.reusedCount,
    },
    {
      name: 'upstream_connections_idle',
      help: 'Connections to upstreams that are open and carry no request.',
      readValue: () => client.idleCount,
    },
  ];
}
