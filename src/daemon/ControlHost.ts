import PrometheusMetrics from '../adapters/metrics/PrometheusMetrics.ts';
import HdrLatencyRecorder from '../adapters/metrics/HdrLatencyRecorder.ts';
import PlatformFrontEnd from '../adapters/http/PlatformFrontEnd.ts';
import TrpcClaimLink from '../adapters/trpc/TrpcClaimLink.ts';
import TrpcMetricsLink from '../adapters/trpc/TrpcMetricsLink.ts';
import TrpcOperatorServer from '../adapters/trpc/TrpcOperatorServer.ts';
import TrpcPeerServer from '../adapters/trpc/TrpcPeerServer.ts';
import TrpcPresetLink from '../adapters/trpc/TrpcPresetLink.ts';
import TrpcReplicationLink from '../adapters/trpc/TrpcReplicationLink.ts';
import { parseControlSnapshot } from '../adapters/trpc/controlMessages.ts';
import createClaimRouter from '../adapters/trpc/createClaimRouter.ts';
import createGossipRouter from '../adapters/trpc/createGossipRouter.ts';
import createOperatorRouter from '../adapters/trpc/createOperatorRouter.ts';
import createPresetRouter from '../adapters/trpc/createPresetRouter.ts';
import createReplicationRouter from '../adapters/trpc/createReplicationRouter.ts';
import { parseEjectionRecord } from '../adapters/trpc/detectionMessages.ts';
import { router } from '../adapters/trpc/trpcBase.ts';
import ClaimService from '../application/claims/ClaimService.ts';
import StopSteps from '../application/lifecycle/StopSteps.ts';
import type { HostStatus } from '../application/membership/HostHeartbeat.ts';
import BurnReporter from '../application/metrics/BurnReporter.ts';
import TeamReporter from '../application/metrics/TeamReporter.ts';
import FleetListing from '../application/operators/FleetListing.ts';
import PresetStatusReader from '../application/operators/PresetStatusReader.ts';
import ForwardingPresetSource from '../application/presets/ForwardingPresetSource.ts';
import PresetService from '../application/presets/PresetService.ts';
import Replica from '../application/replication/Replica.ts';
import type ControlCommand from '../domain/control/ControlCommand.ts';
import type { ControlReply } from '../domain/control/ControlCommand.ts';
import ControlStateMachine from '../domain/control/ControlStateMachine.ts';
import EjectionDirectory from '../domain/detection/EjectionDirectory.ts';
import type { HostStateName } from '../domain/membership/HostRecord.ts';
import type Preset from '../domain/presets/Preset.ts';
import type Daemon from './Daemon.ts';
import listControlGauges from './listControlGauges.ts';
import type { DaemonOptions } from './EntryHost.ts';
import PeerNetwork from './PeerNetwork.ts';
import openDisk from './openDisk.ts';
import TaskGroup from './TaskGroup.ts';

// Time limit for accepted proposals to commit and for the leadership to move to another host.
const stopMs = 5000;

type ControlReplica = Replica<ControlCommand, ControlReply>;

interface ControlComponents {
  readonly state: ControlStateMachine;
  readonly network: PeerNetwork;
  readonly replica: ControlReplica;
  readonly ejections: EjectionDirectory;
}

/** Composition root of a daemon with the role `control`. */
export default class ControlHost implements Daemon {
  private readonly options: DaemonOptions;

  private readonly state: ControlStateMachine;

  private readonly replica: ControlReplica;

  private readonly tasks: TaskGroup;

  private readonly network: PeerNetwork;

  private readonly presets: PresetService;

  private readonly platform: PlatformFrontEnd;

  private readonly peers: TrpcPeerServer;

  private readonly operators: TrpcOperatorServer;

  private isStopping = false;

  private constructor(options: DaemonOptions, components: ControlComponents) {
    const { settings, clock, log } = options;
    this.options = options;
    this.state = components.state;
    this.replica = components.replica;
    this.network = components.network;
    this.tasks = new TaskGroup({ log });
    const { replica: commandLog, network } = this;
    this.presets = new PresetService({ clock, log: commandLog, presets: this.state.presets });
    const others = settings.control.filter(({ host }) => host !== settings.host);
    const claimLinks = others.map((peer) => {
      const { connection } = network.dialer.takeConnection(peer);
      return new TrpcClaimLink({ host: peer.host, connection });
    });
    this.platform = new PlatformFrontEnd({
      clock,
      log,
      metrics: this.createMetrics(),
      readState: () => this.getState(),
    });
    this.peers = new TrpcPeerServer({
      router: router({
        gossip: createGossipRouter({ gossip: network.gossip }),
        replication: createReplicationRouter(this.replica),
        claims: createClaimRouter(new ClaimService({ log: commandLog, links: claimLinks })),
        presets: createPresetRouter({
          clock,
          source: this.presets,
          forwarding: new ForwardingPresetSource({
            source: this.presets,
            controlHosts: others,
            dialer: network.dialer.createDialer((shared) => new TrpcPresetLink(shared)),
          }),
        }),
      }),
      peerKey: settings.peerKey,
      log,
    });
    this.operators = new TrpcOperatorServer({
      router: this.createOperatorRouter(components.ejections),
      operatorKey: settings.operatorKey ?? '',
      clock,
      log,
    });
  }

  /**
   * Opens the data folder and the listeners, then starts the tasks. Rejects with a `FailureError`
   * when the data folder or a listener can't be opened.
   */
  static async startHost(options: DaemonOptions): Promise<ControlHost> {
    const { settings, clock, random, log, stopSignal } = options;
    const state = new ControlStateMachine({ parseSnapshot: parseControlSnapshot });
    let host: ControlHost | undefined;
    const ejections = new EjectionDirectory({ checkRecord: parseEjectionRecord });
    const network = new PeerNetwork({
      settings,
      clock,
      log,
      readStatus: () => host?.readStatus() ?? { state: 'starting', revision: 0, presetName: '' },
      topics: [ejections],
    });
    const others = settings.control.filter((peer) => peer.host !== settings.host);
    const folder = settings.dataFolder ?? '';
    const { disk } = await openDisk({ folder, clock, log, stopSignal, stopMs });
    const replica = await Replica.startReplica<ControlCommand, ControlReply>({
      host: settings.host,
      hosts: settings.control.map((peer) => peer.host),
      links: others.map((peer) => {
        const { connection } = network.dialer.takeConnection(peer);
        return new TrpcReplicationLink({ host: peer.host, connection });
      }),
      disk,
      clock,
      random,
      log,
      state,
    });
    host = new ControlHost(options, { state, network, replica, ejections });
    await host.openListeners();
    network.startTasks(host.tasks);
    const { presets } = host;
    host.tasks.startTask('presets', (signal) => presets.run(signal));
    return host;
  }

  async stop(): Promise<void> {
    const { clock, log } = this.options;
    this.isStopping = true;
    const steps = new StopSteps({ clock, log, deadline: Infinity });
    await steps.runStep('announcing the stop', () => this.network.heartbeat.renewRecord());
    await steps.runStep('stopping the replica', () => this.replica.stop(clock.now() + stopMs));
    await steps.runStep('closing the operators listener', () => this.operators.closeListener());
    await steps.runStep('stopping the tasks', () => this.tasks.stop());
    await steps.runStep('closing the platform listener', () => this.platform.closeListener());
    await steps.runStep('closing the peers listener', () => this.peers.closeListener());
    await steps.runStep('closing connections to peers', () => this.network.dialer.close());
  }

  async waitFailed(): Promise<string> {
    const result = await this.replica.waitStopped();
    if (!result.ok) return result.failure.message;
    // The replica stopped without a failure because this host is stopping.
    return new Promise(() => undefined);
  }

  private async openListeners(): Promise<void> {
    const { peers, platform, operators } = this.options.settings.listen;
    await this.peers.openListener(peers);
    if (operators) await this.operators.openListener(operators);
    await this.platform.openListener(platform);
  }

  private getState(): HostStateName {
    if (this.isStopping) return 'stopping';
    return this.replica.leader === undefined ? 'starting' : 'ready';
  }

  private readStatus(): HostStatus {
    const active = this.state.presets.getActive();
    return {
      state: this.getState(),
      revision: active?.revision ?? 0,
      presetName: active?.name ?? '',
    };
  }

  private createOperatorRouter(ejections: EjectionDirectory) {
    const { clock } = this.options;
    const { network, presets } = this;
    const { hosts, upstreams, dialer } = network;
    const readPreset = (): Preset | undefined => this.state.presets.getActive()?.preset;
    const listing = new FleetListing({ clock, hosts, upstreams, ejections, readPreset });
    const measured = {
      clock,
      // Lost hosts are included, so that the report lists them as missing.
      listEntryHosts: () =>
        [...listing.listHosts(), ...hosts.listLost()].flatMap(({ host, role }) =>
          role === 'entry' ? [host] : [],
        ),
      openLink: (host: string) => {
        const peer = network.findPeer(host);
        return peer && new TrpcMetricsLink(dialer.takeConnection(peer));
      },
      readPreset,
    };
    return createOperatorRouter({
      clock,
      presets,
      status: new PresetStatusReader({ source: presets, hosts: listing }),
      upstreams: listing,
      services: listing,
      teams: new TeamReporter(measured),
      burn: new BurnReporter({ ...measured, merger: new HdrLatencyRecorder() }),
    });
  }

  private createMetrics(): PrometheusMetrics {
    const { replica, state } = this;
    return new PrometheusMetrics([
      ...this.network.listGauges(),
      {
        name: 'preset_revision',
        help: 'Active preset revision in the state of this host.',
        readValue: () => state.presets.getActive()?.revision ?? 0,
      },
      ...listControlGauges(replica),
      {
        name: 'claim_records',
        help: 'Claimed keys and released attempts in the claim registry.',
        readValue: () => state.claims.recordCount,
      },
    ]);
  }
}
