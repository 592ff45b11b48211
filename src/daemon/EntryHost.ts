import FindMyWayRouteTableBuilder from '../adapters/http/FindMyWayRouteTableBuilder.ts';
import HttpFrontEnd from '../adapters/http/HttpFrontEnd.ts';
import PlatformFrontEnd from '../adapters/http/PlatformFrontEnd.ts';
import UndiciUpstreamClient from '../adapters/http/UndiciUpstreamClient.ts';
import HdrLatencyRecorder from '../adapters/metrics/HdrLatencyRecorder.ts';
import PrometheusMetrics from '../adapters/metrics/PrometheusMetrics.ts';
import TrpcClaimLink from '../adapters/trpc/TrpcClaimLink.ts';
import TrpcPeerServer from '../adapters/trpc/TrpcPeerServer.ts';
import TrpcPresetLink from '../adapters/trpc/TrpcPresetLink.ts';
import { parseEjectionRecord } from '../adapters/trpc/detectionMessages.ts';
import createDetectionRouter from '../adapters/trpc/createDetectionRouter.ts';
import createGossipRouter from '../adapters/trpc/createGossipRouter.ts';
import createMetricsRouter from '../adapters/trpc/createMetricsRouter.ts';
import { checkPresetState } from '../adapters/trpc/presetMessages.ts';
import { router } from '../adapters/trpc/trpcBase.ts';
import ClaimClient from '../application/claims/ClaimClient.ts';
import Shutdown from '../application/lifecycle/Shutdown.ts';
import StopSteps from '../application/lifecycle/StopSteps.ts';
import AnnouncementService from '../application/membership/AnnouncementService.ts';
import ServiceLevelObserver from '../application/metrics/ServiceLevelObserver.ts';
import PresetWatcher from '../application/presets/PresetWatcher.ts';
import LoadTracker from '../application/requests/LoadTracker.ts';
import RequestHandler from '../application/requests/RequestHandler.ts';
import type RequestObserver from '../application/requests/RequestObserver.ts';
import type TeamObserver from '../application/requests/TeamObserver.ts';
import SubsetPool from '../application/requests/SubsetPool.ts';
import UpstreamDispatcher from '../application/requests/UpstreamDispatcher.ts';
import EjectionDirectory from '../domain/detection/EjectionDirectory.ts';
import type { HostStateName } from '../domain/membership/HostRecord.ts';
import ServiceLevelCounters from '../domain/metrics/ServiceLevelCounters.ts';
import SlotBalancer from '../domain/requests/SlotBalancer.ts';
import TeamCounters from '../domain/teams/TeamCounters.ts';
import type DaemonSettings from '../domain/settings/DaemonSettings.ts';
import computeBudgetBytes from '../domain/memory/computeBudgetBytes.ts';
import BufferBudget from '../domain/requests/BufferBudget.ts';
import type Clock from '../ports/Clock.ts';
import type Log from '../ports/Log.ts';
import type RandomSource from '../ports/RandomSource.ts';
import type Daemon from './Daemon.ts';
import EntryDetection from './EntryDetection.ts';
import PeerNetwork from './PeerNetwork.ts';
import TaskGroup from './TaskGroup.ts';
import { createGates, createListedQuotas } from './createQuotas.ts';

// With 48 entry hosts, each upstream has about 400 connections.
const connectionsPerUpstream = 8;

/** Options of a daemon of either role. */
export interface DaemonOptions {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  /** Aborts when the daemon is asked to stop, also while it starts. */
  readonly stopSignal: AbortSignal;
}

/** Composition root of a daemon with the role `entry`. */
export default class EntryHost implements Daemon {
  private readonly options: DaemonOptions;

  private readonly tasks: TaskGroup;

  private readonly network: PeerNetwork;

  private readonly presets: PresetWatcher;

  private readonly detection: EntryDetection;

  private readonly claims: ClaimClient;

  private readonly upstreamClient: UndiciUpstreamClient;

  private readonly callers: HttpFrontEnd;

  private readonly platform: PlatformFrontEnd;

  private readonly peers: TrpcPeerServer;

  private readonly shutdown: Shutdown;

  private isStopping = false;

  private constructor(options: DaemonOptions) {
    const { settings, clock, random, log } = options;
    this.options = options;
    this.tasks = new TaskGroup({ log });
    this.presets = this.createPresetWatcher();
    const ejections = new EjectionDirectory({ checkRecord: parseEjectionRecord });
    this.network = new PeerNetwork({
      settings,
      clock,
      log,
      readStatus: () => ({
        state: this.getState(),
        revision: this.presets.state?.revision ?? 0,
        presetName: this.presets.state?.name ?? '',
      }),
      topics: [this.presets, ejections],
    });
    const { network, presets } = this;
    this.detection = new EntryDetection({
      settings,
      clock,
      log,
      network,
      presets,
      ejections,
    });
    const { dialer, heartbeat } = network;
    const holder = `${settings.host}/${heartbeat.incarnation}`;
    const links = settings.control.map((peer) => {
      const { connection } = dialer.takeConnection(peer);
      return new TrpcClaimLink({ host: peer.host, connection });
    });
    this.claims = new ClaimClient({ clock, random, log, holder, links });
    const buffers = new BufferBudget({
      maxBytes: computeBudgetBytes(settings.maxMemoryBytes),
      readNow: () => clock.now(),
    });
    this.upstreamClient = new UndiciUpstreamClient({ clock, connectionsPerUpstream, buffers });
    const serviceLevels = new ServiceLevelObserver({
      host: settings.host,
      clock,
      activePreset: presets,
      counters: new ServiceLevelCounters(),
      latencies: new HdrLatencyRecorder(),
    });
    const metrics = this.createMetrics();
    const teamCounters = new TeamCounters();
    this.callers = new HttpFrontEnd({
      handler: this.createRequestHandler([serviceLevels, metrics], [teamCounters, metrics.teams]),
      clock,
      log,
      buffers,
    });
    this.platform = new PlatformFrontEnd({
      clock,
      log,
      metrics,
      budget: buffers,
      readState: () => this.getState(),
      announcements: new AnnouncementService({
        clock,
        upstreams: network.upstreams,
        exchangeNow: () => network.gossip.exchangeNow(),
      }),
    });
    this.peers = new TrpcPeerServer({
      router: router({
        gossip: createGossipRouter({ gossip: network.gossip }),
        detection: createDetectionRouter({ coordinator: this.detection.coordinator }),
        metrics: createMetricsRouter(serviceLevels, teamCounters),
      }),
      peerKey: settings.peerKey,
      log,
    });
    this.shutdown = this.createShutdown();
  }

  /**
   * Opens the listeners, then starts the tasks. Rejects with a `FailureError` when a listener can't
   * be opened.
   */
  static async startHost(options: DaemonOptions): Promise<EntryHost> {
    const host = new EntryHost(options);
    const { callers, platform, peers } = options.settings.listen;
    await host.peers.openListener(peers);
    await host.platform.openListener(platform);
    if (callers) await host.callers.openListener(callers);
    host.startTasks();
    return host;
  }

  async stop(): Promise<void> {
    await this.shutdown.stopHost();
    const { clock, log } = this.options;
    const steps = new StopSteps({ clock, log, deadline: Infinity });
    await steps.runStep('stopping the tasks', () => this.tasks.stop());
    await steps.runStep('closing connections to upstreams', () => this.upstreamClient.close());
    await steps.runStep('closing the platform listener', () => this.platform.closeListener());
    await steps.runStep('closing the peers listener', () => this.peers.closeListener());
    await steps.runStep('closing connections to peers', () => this.network.dialer.close());
  }

  // Never resolves: every component of an entry host recovers without a restart.
  waitFailed(): Promise<string> {
    return new Promise(() => undefined);
  }

  private startTasks(): void {
    const { tasks } = this;
    this.network.startTasks(tasks);
    this.detection.startTasks(tasks);
    tasks.startTask('presets', (signal) => this.presets.run(signal));
    tasks.startTask('claims', (signal) => this.claims.run(signal));
  }

  private getState(): HostStateName {
    if (this.isStopping) return 'stopping';
    return this.presets.isReady() ? 'ready' : 'starting';
  }

  private createPresetWatcher(): PresetWatcher {
    const { settings, clock, log } = this.options;
    return new PresetWatcher({
      clock,
      log,
      routeTableBuilder: new FindMyWayRouteTableBuilder(),
      controlHosts: settings.control,
      dialer: {
        openLink: (peer) => new TrpcPresetLink(this.network.dialer.takeConnection(peer)),
      },
      checkState: checkPresetState,
      exchangeNow: () => {
        // The host record contains the active revision, so a new revision needs a new record.
        this.network.heartbeat.renewRecord();
        this.network.gossip.exchangeNow();
      },
    });
  }

  private createRequestHandler(
    observers: readonly RequestObserver[],
    teamObservers: readonly TeamObserver[],
  ): RequestHandler {
    const { settings, clock, random, log } = this.options;
    const { presets: activePreset, claims, upstreamClient, detection } = this;
    const dispatcher = new UpstreamDispatcher({
      clock,
      random,
      upstreamClient,
      balancer: new SlotBalancer(),
      pool: new SubsetPool({ pool: detection.pool, host: settings.host }),
      observer: detection.reporter,
      loadTracker: new LoadTracker(),
      failureDomain: settings.failureDomain,
    });
    const observer: RequestObserver = {
      recordRequest: (request) => observers.forEach((item) => item.recordRequest(request)),
    };
    const teamObserver: TeamObserver = {
      recordResult: (result) => teamObservers.forEach((item) => item.recordResult(result)),
    };
    const gates = createGates(createListedQuotas({ clock, log, random, activePreset }));
    return new RequestHandler({
      ...{ clock, random, log, activePreset, claims, dispatcher, observer, teamObserver, gates },
    });
  }

  private createMetrics(): PrometheusMetrics {
    return new PrometheusMetrics([
      ...this.network.listGauges(),
      {
        name: 'preset_revision',
        help: 'Active preset revision.',
        readValue: () => this.presets.state?.revision ?? 0,
      },
    ]);
  }

  private createShutdown(): Shutdown {
    const { settings, clock, log } = this.options;
    const { heartbeat } = this.network;
    return new Shutdown({
      clock,
      log,
      readiness: {
        markStopping: () => {
          this.isStopping = true;
          // The settings name no time after which the process is killed.
          return Infinity;
        },
      },
      listeners: [this.callers],
      claims: this.claims,
      hostRecord: {
        announceStopping: async () => heartbeat.renewRecord(),
        removeRecord: async () => heartbeat.renewRecord(),
      },
      stopGraceMs: settings.stopGraceMs,
    });
  }
}
