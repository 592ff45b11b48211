import ListenerConnections from '../adapters/http/ListenerConnections.ts';
import PlatformFrontEnd from '../adapters/http/PlatformFrontEnd.ts';
import PrometheusMetrics from '../adapters/metrics/PrometheusMetrics.ts';
import TrpcFleetLink from '../adapters/trpc/TrpcFleetLink.ts';
import TrpcPeerDialer from '../adapters/trpc/TrpcPeerDialer.ts';
import TrpcPeerServer from '../adapters/trpc/TrpcPeerServer.ts';
import TrpcReplicationLink from '../adapters/trpc/TrpcReplicationLink.ts';
import { parseControlSnapshot } from '../adapters/trpc/controlMessages.ts';
import createFleetRouter from '../adapters/trpc/createFleetRouter.ts';
import createReplicationRouter from '../adapters/trpc/createReplicationRouter.ts';
import { router } from '../adapters/trpc/trpcBase.ts';
import readDescriptorLimit from '../adapters/system/readDescriptorLimit.ts';
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
import Replica from '../application/replication/Replica.ts';
import type ControlCommand from '../domain/control/ControlCommand.ts';
import type { ControlReply } from '../domain/control/ControlCommand.ts';
import ControlStateMachine from '../domain/control/ControlStateMachine.ts';
import type { ControlHostInfo } from '../domain/fleet/FleetHosts.ts';
import { splitControlDescriptors } from '../domain/settings/splitDescriptors.ts';
import type { FleetControlSettings } from '../domain/settings/FleetSettings.ts';
import BufferBudget from '../domain/requests/BufferBudget.ts';
import type Clock from '../ports/Clock.ts';
import type FleetLink from '../ports/FleetLink.ts';
import type Log from '../ports/Log.ts';
import type PresetCodec from '../ports/PresetCodec.ts';
import type RandomSource from '../ports/RandomSource.ts';
import listConnectionGauges from './listConnectionGauges.ts';
import listControlGauges from './listControlGauges.ts';
import listDiskGauges from './listDiskGauges.ts';
import listLoadGauges from './listLoadGauges.ts';
import TaskGroup from './TaskGroup.ts';
import fleetTimes, { peerIdleCloseMs } from './fleetTimes.ts';
import formatAddress from './formatAddress.ts';
import openDisk from './openDisk.ts';
import listSeedPeers from './listSeedPeers.ts';
import readProcessorMs from './readProcessorMs.ts';

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

/** Options of a control host in a fleet whose hosts discover each other through seeds. */
export interface FleetControlOptions {
  readonly settings: FleetControlSettings;
  /** Returns the settings as last read from the file. */
  readonly readSettings: () => Pick<FleetControlSettings, 'seeds'>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly codec: PresetCodec;
  /** Aborts when the host is asked to stop, also while it starts. */
  readonly stopSignal: AbortSignal;
  /** An address that is in use at this time is refused. */
  readonly addressDeadline: number;
}

interface ControlListeners {
  readonly operators: ListenerConnections;
  readonly peers: ListenerConnections;
  readonly metrics: ListenerConnections;
}

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

function createListeners(
  { clock, log }: Pick<FleetControlOptions, 'clock' | 'log'>,
  maxDescriptors: number,
): ControlListeners {
  const parts = splitControlDescriptors(maxDescriptors);
  log.info('lifecycle: limited the connections of the listeners', { maxDescriptors, ...parts });
  const createListener = (listener: keyof ControlListeners, maxUnproven: number) =>
    new ListenerConnections({
      ...{ clock, log, listener, maxUnproven },
      maxConnections: parts[listener],
    });
  return {
    operators: createListener('operators', parts.operators),
    peers: createListener('peers', parts.unprovenPeers),
    metrics: createListener('metrics', parts.metrics),
  };
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
    const ownAddress = formatAddress(listen.peers);
    const state = new ControlStateMachine({ parseSnapshot: parseControlSnapshot });
    const dialer = new TrpcPeerDialer({
      peerKey,
      ownHost: settings.host,
      clock,
      log,
      idleCloseMs: peerIdleCloseMs,
      isCompressed: true,
    });
    const seeds = listSeedPeers(settings);
    const folder = settings.dataFolder;
    const { disk, reporting } = await openDisk({
      ...{ folder, clock, log, stopSignal },
      stopMs: transferMs,
    });
    const replica = await Replica.startReplica<ControlCommand, ControlReply>({
      host: ownAddress,
      hosts: settings.formsGroup ? seeds : [],
      links: seeds
        .filter((address) => address !== ownAddress)
        .map((address) => {
          const { connection } = dialer.takeConnection({ host: address, address });
          return new TrpcReplicationLink({ host: address, connection });
        }),
      disk,
      clock,
      random,
      log,
      state,
      times: fleetTimes,
      minVoters: 2 * settings.lostHosts + 1,
    });
    const connections = createListeners(options, await readDescriptorLimit(settings));
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
    const { clock, log } = this.options;
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
      listRelays: () => this.listRelays(),
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

  /** Lists one relay for every other failure domain: its control host with the lowest address. */
  private listRelays(): readonly string[] {
    const { failureDomain } = this.options.settings;
    const relayByDomain = new Map<string, string>();
    this.discovery
      .listHosts()
      .filter((host) => host.failureDomain !== failureDomain)
      .forEach((host) => {
        const selected = relayByDomain.get(host.failureDomain);
        if (selected === undefined || host.address < selected) {
          relayByDomain.set(host.failureDomain, host.address);
        }
      });
    return [...relayByDomain.values()];
  }

  private createMetrics(): PrometheusMetrics {
    const { replica, state, reporting } = this.components;
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
          readValue: () => this.feed.listEntryHosts().length,
        },
        {
          name: 'control_hosts',
          help: 'Control hosts that this host has discovered.',
          readValue: () => this.discovery.listHosts().length,
        },
        ...listConnectionGauges(Object.values(this.connections)),
        ...listLoadGauges(this.loadMonitor),
        ...listDiskGauges(reporting),
        ...listControlGauges(replica),
      ],
      { hasProcessMetrics: false },
    );
  }
}
