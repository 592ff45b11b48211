import type ListenerConnections from '../adapters/http/ListenerConnections.ts';
import PrometheusMetrics from '../adapters/metrics/PrometheusMetrics.ts';
import type ControlHostDiscovery from '../application/fleet/ControlHostDiscovery.ts';
import type FeedService from '../application/fleet/FeedService.ts';
import type LoadMonitor from '../application/metrics/LoadMonitor.ts';
import type ReportingDisk from '../application/replication/ReportingDisk.ts';
import type ControlStateMachine from '../domain/control/ControlStateMachine.ts';
import listConnectionGauges from './listConnectionGauges.ts';
import listControlGauges from './listControlGauges.ts';
import type { GaugedReplica } from './listControlGauges.ts';
import listDiskGauges from './listDiskGauges.ts';
import listLoadGauges from './listLoadGauges.ts';

/** State of a control host that its metrics report. */
export interface MeasuredControlHost {
  readonly state: ControlStateMachine;
  readonly feed: FeedService;
  readonly discovery: ControlHostDiscovery;
  readonly connections: readonly ListenerConnections[];
  readonly loadMonitor: LoadMonitor;
  readonly reporting: ReportingDisk;
  readonly replica: GaugedReplica;
}

/** Creates the metrics of a control host in a fleet that is found through seeds. */
export default function createControlMetrics(host: MeasuredControlHost): PrometheusMetrics {
  const { state, feed, discovery, connections, loadMonitor, reporting, replica } = host;
  return new PrometheusMetrics(
    [
      {
        name: 'preset_number',
        help: 'Number of the active numbered preset in the state of this host.',
        readValue: () => state.numberedPreset?.number ?? 0,
      },
      {
        name: 'upstreams',
        help: 'Registered upstreams that are serving, leaving or silent.',
        readValue: () => state.registry.listUpstreams().length,
      },
      {
        name: 'entry_hosts',
        help: 'Entry hosts that watch the feed of this host.',
        readValue: () => feed.listEntryHosts().length,
      },
      {
        name: 'control_hosts',
        help: 'Control hosts that this host has discovered.',
        readValue: () => discovery.listHosts().length,
      },
      ...listConnectionGauges(connections),
      ...listLoadGauges(loadMonitor),
      ...listDiskGauges(reporting),
      ...listControlGauges(replica),
    ],
    { hasProcessMetrics: false },
  );
}
