import type { GaugeSource } from '../adapters/metrics/PrometheusMetrics.ts';
import type UdpDatagramSocket from '../adapters/udp/UdpDatagramSocket.ts';
import type FeedSubscriber from '../application/fleet/FeedSubscriber.ts';
import type FleetView from '../application/fleet/FleetView.ts';
import type LoadMonitor from '../application/metrics/LoadMonitor.ts';
import type UpstreamStatements from '../domain/statements/UpstreamStatements.ts';
import type Clock from '../ports/Clock.ts';
import listLoadGauges from './listLoadGauges.ts';

/** State of an entry host that the gauges report. */
export interface GaugedEntryHost {
  readonly clock: Clock;
  readonly view: Pick<FleetView, 'state' | 'entryHosts'>;
  readonly subscriber: Pick<FeedSubscriber, 'source' | 'feedAgeMs'>;
  readonly socket: Pick<UdpDatagramSocket, 'refusedCount' | 'unsentCount'>;
  readonly statements: Pick<UpstreamStatements, 'limitedCount' | 'leavingCount' | 'countPaused'>;
  readonly loadMonitor: Pick<LoadMonitor, 'maxDelayMs'>;
}

/** Lists the gauges of an entry host in a fleet whose hosts discover each other through seeds. */
export default function listEntryGauges(host: GaugedEntryHost): readonly GaugeSource[] {
  const { clock, view, subscriber, socket, statements, loadMonitor } = host;
  return [
    {
      name: 'preset_number',
      help: 'Number of the active preset.',
      readValue: () => view.state?.revision ?? 0,
    },
    {
      name: 'entry_hosts',
      help: 'Entry hosts in the failure domain of this host.',
      readValue: () => view.entryHosts.length,
    },
    {
      name: 'following',
      help: '1 while this host receives the feed of a control host.',
      readValue: () => (subscriber.source === undefined ? 0 : 1),
    },
    {
      name: 'feed_age_ms',
      help: 'Time since the last answer of a control host that was current, in milliseconds.',
      readValue: () => subscriber.feedAgeMs,
    },
    {
      name: 'limited_upstreams',
      help: 'Upstreams that state a limit.',
      readValue: () => statements.limitedCount,
    },
    {
      name: 'paused_upstreams',
      help: 'Upstreams that take no request from this host for now.',
      readValue: () => statements.countPaused(clock.now()),
    },
    {
      name: 'leaving_upstreams',
      help: 'Upstreams that state in their answers that they are leaving.',
      readValue: () => statements.leavingCount,
    },
    {
      name: 'datagrams_refused',
      help: 'Received datagrams that were damaged or not authenticated with the peer key.',
      readValue: () => socket.refusedCount,
    },
    {
      name: 'datagrams_unsent',
      help: 'Datagrams that could not be sent.',
      readValue: () => socket.unsentCount,
    },
    ...listLoadGauges(loadMonitor),
  ];
}
