import TrpcDetectionLink from '../adapters/trpc/TrpcDetectionLink.ts';
import EjectingUpstreamPool from '../application/detection/EjectingUpstreamPool.ts';
import EvidenceReporter from '../application/detection/EvidenceReporter.ts';
import type HostIdentity from '../application/detection/HostIdentity.ts';
import DetectionCoordinator from '../application/detection/DetectionCoordinator.ts';
import LocalDetectionLink from '../application/detection/LocalDetectionLink.ts';
import type PresetWatcher from '../application/presets/PresetWatcher.ts';
import PooledDetector from '../domain/detection/PooledDetector.ts';
import type EjectionDirectory from '../domain/detection/EjectionDirectory.ts';
import { detectionSettings } from '../domain/detection/detectionSettings.ts';
import type DaemonSettings from '../domain/settings/DaemonSettings.ts';
import type Clock from '../ports/Clock.ts';
import type Log from '../ports/Log.ts';
import type PeerNetwork from './PeerNetwork.ts';
import type TaskGroup from './TaskGroup.ts';

/** Options of the outlier detection of an entry host. */
export interface EntryDetectionOptions {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly network: PeerNetwork;
  readonly presets: PresetWatcher;
  readonly ejections: EjectionDirectory;
}

/** Outlier detection of an entry host: coordinator, evidence reporter and pool of upstreams. */
export default class EntryDetection {
  readonly coordinator: DetectionCoordinator;

  readonly reporter: EvidenceReporter;

  readonly pool: EjectingUpstreamPool;

  constructor(options: EntryDetectionOptions) {
    const { settings, clock, log, network, presets: activePreset, ejections } = options;
    const { hosts, upstreams, heartbeat, dialer, gossip } = network;
    const self: HostIdentity = {
      host: settings.host,
      failureDomain: settings.failureDomain,
      get incarnation() {
        return heartbeat.incarnation;
      },
    };
    this.coordinator = new DetectionCoordinator({
      clock,
      log,
      self,
      activePreset,
      upstreams,
      hosts,
      ejections,
      createDetector: (preference) =>
        new PooledDetector({ settings: detectionSettings[preference] }),
      announceEjections: () => gossip.exchangeNow(),
    });
    this.reporter = new EvidenceReporter({
      clock,
      log,
      self,
      activePreset,
      hosts,
      ownLink: new LocalDetectionLink(this.coordinator),
      opener: {
        openLink: ({ host, peerAddress }) =>
          new TrpcDetectionLink(dialer.takeConnection({ host, address: peerAddress })),
      },
    });
    this.pool = new EjectingUpstreamPool({ clock, activePreset, upstreams, ejections });
  }

  startTasks(tasks: TaskGroup): void {
    tasks.startTask('coordinator', (signal) => this.coordinator.run(signal));
    tasks.startTask('evidence', (signal) => this.reporter.run(signal));
  }
}
