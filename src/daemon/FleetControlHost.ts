import PlatformFrontEnd from '../adapters/http/PlatformFrontEnd.ts';
import type PrometheusMetrics from '../adapters/metrics/PrometheusMetrics.ts';
import TrpcFleetLink from '../adapters/trpc/TrpcFleetLink.ts';
import TrpcPeerDialer from '../adapters/trpc/TrpcPeerDialer.ts';
import TrpcPeerServer from '../adapters/trpc/TrpcPeerServer.ts';
import TrpcReplicationLink from '../adapters/trpc/TrpcReplicationLink.ts';
import createFleetRouter from '../adapters/trpc/createFleetRouter.ts';
import createReplicationRouter from '../adapters/trpc/createReplicationRouter.ts';
import { router } from '../adapters/trpc/trpcBase.ts';
import UdpDatagramSocket from '../adapters/udp/UdpDatagramSocket.ts';
import CommandForwarder from '../application/fleet/CommandForwarder.ts';
import FeedService from '../application/fleet/FeedService.ts';
import DomainHub from '../application/fleet/DomainHub.ts';
import ControlHostDiscovery from '../application/fleet/ControlHostDiscovery.ts';
import NumberedPresetService from '../application/fleet/NumberedPresetService.ts';
import RegistrationService from '../application/fleet/RegistrationService.ts';
import type { ServiceCheckResult } from '../application/fleet/RegistrationService.ts';
import SuspicionRelay from '../application/fleet/SuspicionRelay.ts';
import openWhenFree from '../application/lifecycle/openWhenFree.ts';
import StopSteps from '../application/lifecycle/StopSteps.ts';
import LoadMonitor from '../application/metrics/LoadMonitor.ts';
import type ReportingDisk from '../application/replication/ReportingDisk.ts';
import type Replica from '../application/replication/Replica.ts';
import type ControlCommand from '../domain/control/ControlCommand.ts';
import type { ControlReply } from '../domain/control/ControlCommand.ts';
import type ControlStateMachine from '../domain/control/ControlStateMachine.ts';
import type { ControlHostInfo } from '../domain/fleet/FleetHosts.ts';
import { splitControlDescriptors } from '../domain/settings/splitDescriptors.ts';
import BufferBudget from '../domain/requests/BufferBudget.ts';
import type FleetLink from '../ports/FleetLink.ts';
import type FleetControlOptions from './FleetControlOptions.ts';
import TaskGroup from './TaskGroup.ts';
import createControlMetrics from './createControlMetrics.ts';
import createListeners from './createListeners.ts';
import type { HostListeners } from './createListeners.ts';
import { peerIdleCloseMs } from './fleetTimes.ts';
import formatAddress from './formatAddress.ts';
import listDomainRelays from './listDomainRelays.ts';
import listSeedPeers from './listSeedPeers.ts';
import readProcessorMs from './readProcessorMs.ts';
import startControlReplica from './startControlReplica.ts';

// Twice as long as a call may take to commit.
const callsMs = 2000;
// Time limit for accepted proposals to commit and for the leadership to move to another host.
const transferMs = 3000;
// Time to close what has no call that can still succeed.
const closeMs = 500;
// Time for the last log lines and for the process to exit.
const exitMs = 500;
// Memory for the connections of the metrics listener, which serves few calls.
const maxMetricsBytes = 4_194_304;

// Listeners of a control host, by their names in the settings.
const listenerNames = ['operators', 'peers', 'metrics'] as const;

type ControlListeners = HostListeners<(typeof listenerNames)[number]>;

/** The listener whose calls a control host serves. */
export interface CallListener {
  /** Accepts no new calls and resolves when every open one has been answered. */
  closeListener(): Promise<void>;
}

interface ControlComponents {
  readonly connections: ControlListeners;
  readonly state: ControlStateMachine;
  readonly dialer: TrpcPeerDialer;
  readonly reporting: ReportingDisk;
  readonly replica: Replica<ControlCommand, ControlReply>;
  readonly socket: UdpDatagramSocket;
}

/** Composition root of a control host in a fleet whose hosts discover each other through seeds. */
export default class FleetControlHost {
  readonly presets: NumberedPresetService;

  readonly registrations: RegistrationService;

  /** Connections of each listener. */
  readonly connections: ControlListeners;

  private readonly options: FleetControlOptions;

  private readonly components: ControlComponents;

  private readonly tasks: TaskGroup;

  private readonly discovery: ControlHostDiscovery;

  private readonly forwarder: CommandForwarder;

  private readonly feed: FeedService;

  private readonly peers: TrpcPeerServer;

  private readonly metricsFrontEnd: PlatformFrontEnd;

  private readonly loadMonitor: LoadMonitor;

  private isStopping = false;

  private decodedPresetNumber: number | undefined;

  private presetServices: ReadonlySet<string> = new Set();

  private constructor(options: FleetControlOptions, components: ControlComponents) {
    const { settings, clock, log } = options;
    const { replica, state, connections } = components;
    this.options = options;
    this.components = components;
    this.connections = connections;
    this.tasks = new TaskGroup({ log });
    const openLink = (address: string): FleetLink => this.openLink(address);
    const ownAddress = formatAddress(settings.listen.peers);
    this.discovery = this.createDiscovery(openLink);
    this.forwarder = new CommandForwarder({ clock, log: replica, ownAddress, openLink });
    this.feed = new FeedService({
      clock,
      log: replica,
      state,
      listControlHosts: () => this.discovery.listHosts(),
    });
    this.presets = new NumberedPresetService({ clock, log, commandLog: replica, state });
    this.registrations = new RegistrationService({
      clock,
      log,
      replica,
      registry: state.registry,
      forwarder: this.forwarder,
      ownAddress,
      isKnownHost: (address) => this.discovery.findHost(address) !== undefined,
      checkService: (service) => this.checkService(service),
      silenceMs: settings.upstreamSilenceMs,
    });
    this.peers = new TrpcPeerServer({
      router: router({
        replication: createReplicationRouter(replica),
        fleet: createFleetRouter({
          clock,
          feed: this.feed,
          discovery: this.discovery,
          log: replica,
        }),
      }),
      peerKey: settings.peerKey,
      log,
      listenerConnections: connections.peers,
    });
    this.loadMonitor = new LoadMonitor({
      clock,
      log,
      readTotals: () => ({
        processorMs: readProcessorMs(),
        ...components.socket.totals,
        peerConnections: connections.peers.acceptedCount,
        operatorConnections: connections.operators.acceptedCount,
        feedRequests: this.feed.requestCount,
        upstreamCalls: this.registrations.callCount,
      }),
    });
    this.metricsFrontEnd = new PlatformFrontEnd({
      clock,
      log,
      metrics: this.createMetrics(),
      budget: new BufferBudget({ maxBytes: maxMetricsBytes, readNow: () => clock.now() }),
      listenerConnections: connections.metrics,
      readState: () => {
        if (this.isStopping) return 'stopping';
        return replica.isCurrent ? 'ready' : 'starting';
      },
    });
  }

  /**
   * Opens the data folder and the listeners, then starts the tasks. Rejects with a `FailureError`
   * when the data folder or a listener can't be opened by the deadline for addresses.
   */
  static async startHost(options: FleetControlOptions): Promise<FleetControlHost> {
    const { settings, clock, random, log, stopSignal, addressDeadline: deadline } = options;
    const { peerKey, listen } = settings;
    // A predecessor on this host closes its datagram socket when its replica has stopped. Until
    // then, two processes would write to the data folder.
    const waiting = { clock, log, deadline, signal: stopSignal };
    const socket = await openWhenFree({
      ...waiting,
      open: () => UdpDatagramSocket.openSocket({ address: listen.peers, peerKey, log }),
    });
    const dialer = new TrpcPeerDialer({
      peerKey,
      ownHost: settings.host,
      clock,
      log,
      idleCloseMs: peerIdleCloseMs,
      isCompressed: true,
    });
    const { state, reporting, replica } = await startControlReplica({
      ...{ settings, clock, random, log, stopSignal, dialer },
      stopMs: transferMs,
    });
    const connections = await createListeners({
      ...{ clock, log, settings },
      names: listenerNames,
      splitDescriptors: splitControlDescriptors,
      // The operators listener and that of metrics need no key.
      getUnproven: ({ unprovenPeers }) => ({ peers: unprovenPeers }),
    });
    const host = new FleetControlHost(options, {
      ...{ state, dialer, reporting, replica, socket, connections },
    });
    const openAll = [
      () => host.peers.openListener(listen.peers),
      () => host.metricsFrontEnd.openListener(listen.metrics),
    ];
    await Promise.all(openAll.map((open) => openWhenFree({ ...waiting, open })));
    host.startTasks();
    return host;
  }

  /** Returns the address of the leader's operators listener; undefined when it is unknown. */
  findLeaderAddress(): string | undefined {
    const { leader } = this.components.replica;
    return leader === undefined ? undefined : this.discovery.findHost(leader)?.operatorsAddress;
  }

  /**
   * Answers the open calls of a listener, then stops the tasks and closes the other listeners.
   * Resolves when the process may exit, at the latest shortly before the platform kills it.
   */
  async stop(listener: CallListener): Promise<void> {
    const { settings, clock, log } = this.options;
    const { replica, socket, dialer } = this.components;
    this.isStopping = true;
    const deadline = clock.now() + Math.max(0, settings.stopTimeoutMs - exitMs);
    const steps = new StopSteps({ clock, log, deadline });
    // A replica that stops refuses proposals, so it stops after the calls that may need them.
    const closing = steps.runStep('closing the operators listener', () => listener.closeListener());
    await Promise.race([closing, clock.sleepUntil(Math.min(deadline, clock.now() + callsMs))]);
    const transferDeadline = Math.min(deadline, clock.now() + transferMs);
    await steps.runStep('stopping the replica', () => replica.stop(transferDeadline));
    await steps.runStep('ending the tasks', () => this.tasks.stop());
    const closeDeadline = Math.min(deadline, clock.now() + closeMs);
    const lastSteps = new StopSteps({ clock, log, deadline: closeDeadline });
    await Promise.all([
      lastSteps.runStep('answering the last calls', () => closing),
      lastSteps.runStep('closing the metrics listener', () => this.metricsFrontEnd.closeListener()),
      lastSteps.runStep('closing the peers listener', () => this.peers.closeListener()),
    ]);
    await steps.runStep('closing the links to other control hosts', () => this.forwarder.close());
    await steps.runStep('closing the datagram socket', () => socket.close());
    await steps.runStep('closing the connections to peers', () => dialer.close());
  }

  /** Resolves with an error message when the replica fails. */
  async waitFailed(): Promise<string> {
    const result = await this.components.replica.waitStopped();
    if (!result.ok) return result.failure.message;
    // The replica stopped without a failure because this host is stopping.
    return new Promise(() => undefined);
  }

  // Runs for every announcement, so each preset is decoded only once.
  private checkService(service: string): ServiceCheckResult {
    const { numberedPreset } = this.components.state;
    if (!numberedPreset) return 'undecided';
    if (numberedPreset.number !== this.decodedPresetNumber) {
      const decoded = this.options.codec.decodePreset(numberedPreset.document);
      this.presetServices = new Set(decoded.ok ? Object.keys(decoded.value.preset.services) : []);
      this.decodedPresetNumber = numberedPreset.number;
    }
    return this.presetServices.has(service) ? 'known' : 'unknown';
  }

  private startTasks(): void {
    const { settings, clock, log } = this.options;
    const { socket } = this.components;
    this.tasks.startTask('discovery', (signal) => this.discovery.run(signal));
    this.tasks.startTask('feed', (signal) => this.feed.run(signal));
    this.tasks.startTask('registrations', (signal) => this.registrations.run(signal));
    this.tasks.startTask('load', (signal) => this.loadMonitor.run(signal));
    this.tasks.startTask('hub', (signal) => new DomainHub({ clock, socket }).run(signal));
    // The relay only reacts to datagrams and needs no task of its own.
    SuspicionRelay.startRelay({
      clock,
      log,
      socket,
      listRelays: () => listDomainRelays(this.discovery.listHosts(), settings.failureDomain),
      listEntryHosts: () => this.feed.listEntryHosts().map(({ address }) => address),
    });
  }

  private createDiscovery(openLink: (address: string) => FleetLink): ControlHostDiscovery {
    const { settings, clock, log, readSettings } = this.options;
    const { listen, failureDomain } = settings;
    return new ControlHostDiscovery({
      clock,
      log,
      ownHost: {
        address: formatAddress(listen.peers),
        operatorsAddress: formatAddress(listen.operators),
        failureDomain,
      },
      readSeeds: () => listSeedPeers({ ...settings, seeds: readSettings().seeds }),
      openLink,
      onHostDiscovered: (host) => this.addControlHost(host),
    });
  }

  private addControlHost({ address }: ControlHostInfo): void {
    const { dialer, replica } = this.components;
    const { connection } = dialer.takeConnection({ host: address, address });
    replica.addLink(new TrpcReplicationLink({ host: address, connection }));
  }

  private openLink(address: string): FleetLink {
    const shared = this.components.dialer.takeConnection({ host: address, address });
    return new TrpcFleetLink(shared, this.options.clock);
  }

  private createMetrics(): PrometheusMetrics {
    const { replica, state, reporting } = this.components;
    const { feed, discovery, loadMonitor } = this;
    const connections = Object.values(this.connections);
    return createControlMetrics({
      ...{ replica, state, reporting, feed, discovery, loadMonitor, connections },
    });
  }
}
