import TrpcDetectionLink from '../adapters/trpc/TrpcDetectionLink.ts';
import EjectingUpstreamPool from '../application/detection/EjectingUpstreamPool.ts';
import EvidenceReporter from '../application/detection/EvidenceReporter.ts';
import type HostIdentity from '../application/detection/HostIdentity.ts';
import Judge from '../application/detection/Judge.ts';
import LocalDetectionLink from '../application/detection/LocalDetectionLink.ts';
import type PresetFollower from '../application/presets/PresetFollower.ts';
import PooledDetector from '../domain/detection/PooledDetector.ts';
import type VerdictBook from '../domain/detection/VerdictBook.ts';
import { detectionSettings } from '../domain/detection/detectionSettings.ts';
import type DaemonSettings from '../domain/settings/DaemonSettings.ts';
import type Clock from '../ports/Clock.ts';
import type Log from '../ports/Log.ts';
import type PeerNetwork from './PeerNetwork.ts';
import type TaskGroup from './TaskGroup.ts';

/** What the detection of an entry host is built from. */
export interface EntryDetectionOptions {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly network: PeerNetwork;
  readonly presets: PresetFollower;
  readonly verdicts: VerdictBook;
}

/** The judge, the reporter and the pool of usable upstreams of an entry host. */
export default class EntryDetection {
  readonly judge: Judge;

  readonly reporter: EvidenceReporter;

  readonly pool: EjectingUpstreamPool;

  constructor(options: EntryDetectionOptions) {
    const { settings, clock, log, network, presets: activePreset, verdicts } = options;
    const { hosts, upstreams, heartbeat, dialer, gossip } = network;
    const self: HostIdentity = {
      host: settings.host,
      failureDomain: settings.failureDomain,
      get incarnation() {
        return heartbeat.incarnation;
      },
    };
    this.judge = new Judge({
      clock,
      log,
      self,
      activePreset,
      upstreams,
      hosts,
      verdicts,
      createDetector: (preference) =>
        new PooledDetector({ settings: detectionSettings[preference] }),
      announceVerdict: () => gossip.sendNews(),
    });
    this.reporter = new EvidenceReporter({
      clock,
      log,
      self,
      activePreset,
      hosts,
      ownLink: new LocalDetectionLink(this.judge),
      opener: {
        openLink: ({ host, peerAddress }) =>
          new TrpcDetectionLink(dialer.takeConnection({ host, address: peerAddress })),
      },
    });
    this.pool = new EjectingUpstreamPool({ clock, activePreset, upstreams, verdicts });
  }

  startTasks(tasks: TaskGroup): void {
    tasks.startTask('judge', (signal) => this.judge.run(signal));
    tasks.startTask('evidence', (signal) => this.reporter.run(signal));
  }
}
