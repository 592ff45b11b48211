import type ListenerConnections from '../adapters/http/ListenerConnections.ts';
import type { GaugeSource } from '../adapters/metrics/PrometheusMetrics.ts';

/** Lists the gauges for the connections of the listeners of a process. */
export default function listConnectionGauges(
  listeners: readonly Pick<
    ListenerConnections,
    'listener' | 'acceptedCount' | 'openCount' | 'unprovenCount' | 'refusedCount' | 'closedCount'
  >[],
): readonly GaugeSource[] {
  return listeners.flatMap((connections) => [
    {
      name: `connections_${connections.listener}`,
      help: `Open connections of the listener ${connections.listener}.`,
      readValue: () => connections.openCount,
    },
    {
      name: `connections_accepted_${connections.listener}`,
      help: `Connections that the listener ${connections.listener} has accepted.`,
      readValue: () => connections.acceptedCount,
    },
    {
      name: `connections_unproven_${connections.listener}`,
      help: `Connections of the listener ${connections.listener} without a request or the peer key yet.`,
      readValue: () => connections.unprovenCount,
    },
    {
      name: `connections_refused_${connections.listener}`,
      help: `Connections of the listener ${connections.listener} that were closed because of its limit.`,
      readValue: () => connections.refusedCount,
    },
    {
      name: `connections_closed_${connections.listener}`,
      help: `Connections of the listener ${connections.listener} that were closed because they held more than they may.`,
      readValue: () => connections.closedCount,
    },
  ]);
}
