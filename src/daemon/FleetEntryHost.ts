import HttpFrontEnd from '../adapters/http/HttpFrontEnd.ts';
import PlatformFrontEnd from '../adapters/http/PlatformFrontEnd.ts';
import UndiciUpstreamClient from '../adapters/http/UndiciUpstreamClient.ts';
import type PrometheusMetrics from '../adapters/metrics/PrometheusMetrics.ts';
import TrpcPeerDialer from '../adapters/trpc/TrpcPeerDialer.ts';
import UdpDatagramSocket from '../adapters/udp/UdpDatagramSocket.ts';
import DomainExchange from '../application/fleet/DomainExchange.ts';
import DomainRetryBudgets from '../application/fleet/DomainRetryBudgets.ts';
import type FeedSubscriber from '../application/fleet/FeedSubscriber.ts';
import FleetView from '../application/fleet/FleetView.ts';
import type SuspicionObserver from '../application/fleet/SuspicionObserver.ts';
import openWhenFree from '../application/lifecycle/openWhenFree.ts';
import type Shutdown from '../application/lifecycle/Shutdown.ts';
import StopSchedule from '../application/lifecycle/StopSchedule.ts';
import StopSteps from '../application/lifecycle/StopSteps.ts';
import LoadMonitor from '../application/metrics/LoadMonitor.ts';
import type RequestHandler from '../application/requests/RequestHandler.ts';
import SuspicionTracker from '../domain/detection/SuspicionTracker.ts';
import type { HostStateName } from '../domain/membership/HostRecord.ts';
import type Preset from '../domain/presets/Preset.ts';
import computeBudgetBytes from '../domain/memory/computeBudgetBytes.ts';
import BufferBudget from '../domain/requests/BufferBudget.ts';
import { splitEntryDescriptors } from '../domain/settings/splitDescriptors.ts';
import UpstreamStatements from '../domain/statements/UpstreamStatements.ts';
import type TeamQuotas from '../application/teams/TeamQuotas.ts';
import type Daemon from './Daemon.ts';
import type FleetEntryOptions from './FleetEntryOptions.ts';
import TaskGroup from './TaskGroup.ts';
import createEntryMetrics from './createEntryMetrics.ts';
import createFeedSubscriber from './createFeedSubscriber.ts';
import createFleetHandler from './createFleetHandler.ts';
import createFleetShutdown from './createFleetShutdown.ts';
import createListeners from './createListeners.ts';
import type { HostListeners } from './createListeners.ts';
import createObserver from './createObserver.ts';
import { createGates, createSharedQuotas } from './createQuotas.ts';
import { connectTimeoutMs, connectionsPerUpstream, peerIdleCloseMs } from './fleetTimes.ts';
import formatAddress from './formatAddress.ts';
import readProcessorMs from './readProcessorMs.ts';

// The listener accepts slightly more than a preset allows; the limits of the preset are checked for
// each request.
const maxHeaderBytes = 65_536;
// Time to close what no caller uses. With the last flush of answers, it is below the time that
// `StopSchedule` keeps until the platform kills the process.
const closeMs = 200;

// Listeners of an entry host, by their names in the settings.
const listenerNames = ['callers', 'platform', 'metrics'] as const;

type EntryListeners = HostListeners<(typeof listenerNames)[number]>;

interface EntryComponents {
  readonly socket: UdpDatagramSocket;
  readonly connections: EntryListeners;
}

/** Composition root of an entry host in a fleet whose hosts discover each other through seeds. */
export default class FleetEntryHost implements Daemon {
  private readonly options: FleetEntryOptions;

  private readonly tasks: TaskGroup;

  private readonly view: FleetView;

  private readonly dialer: TrpcPeerDialer;

  private readonly socket: UdpDatagramSocket;

  private readonly subscriber: FeedSubscriber;

  private readonly loadMonitor: LoadMonitor;

  private readonly suspicions: SuspicionTracker;

  private readonly statements: UpstreamStatements;

  private readonly retryBudgets: DomainRetryBudgets;

  private readonly quotas: TeamQuotas;

  private readonly exchange: DomainExchange;

  private readonly observer: SuspicionObserver;

  private readonly upstreamClient: UndiciUpstreamClient;

  private readonly connections: EntryListeners;

  private readonly callers: HttpFrontEnd;

  private readonly platform: PlatformFrontEnd;

  private readonly metricsFrontEnd: PlatformFrontEnd;

  private readonly stopSchedule: StopSchedule;

  private readonly shutdown: Shutdown;

  private hasRequestedSuspicions = false;

  private constructor(options: FleetEntryOptions, { socket, connections }: EntryComponents) {
    const { settings, clock, log, codec, dialect } = options;
    this.options = options;
    this.socket = socket;
    this.connections = connections;
    this.tasks = new TaskGroup({ log });
    this.view = new FleetView({
      clock,
      log,
      codec,
      onPreset: ({ limits }) => this.handlePreset(limits),
    });
    this.dialer = new TrpcPeerDialer({
      peerKey: settings.peerKey,
      ownHost: settings.host,
      clock,
      log,
      idleCloseMs: peerIdleCloseMs,
      isCompressed: true,
    });
    const { view, dialer } = this;
    this.subscriber = createFeedSubscriber({ ...options, view, dialer });
    this.suspicions = new SuspicionTracker({ decayMs: settings.suspicionMs });
    this.statements = new UpstreamStatements({
      failureDomain: settings.failureDomain,
      failureDomains: settings.failureDomains.length,
      findFailureDomain: (upstream) => this.view.findUpstream(upstream)?.failureDomain,
    });
    this.retryBudgets = new DomainRetryBudgets({
      ...{ clock, log },
      ...settings.retries,
      failureDomains: settings.failureDomains.length,
      isFirstStart: settings.isFirstStart,
      countHosts: () => this.view.domainSize,
      readOthers: (service) => this.exchange.readRetries(service),
      borrowRetry: (service) => this.exchange.borrowRetry(service),
    });
    this.quotas = createSharedQuotas({
      ...{ clock, log, random: options.random, activePreset: this.view },
      settings: settings.quotas,
      failureDomains: settings.failureDomains.length,
      isFirstStart: settings.isFirstStart,
      countHosts: () => this.view.domainSize,
    });
    this.exchange = this.createExchange();
    const { statements, suspicions, exchange } = this;
    this.observer = createObserver({ clock, view, statements, suspicions, exchange });
    this.stopSchedule = new StopSchedule({
      clock,
      killMs: settings.stopTimeoutMs,
      estimateAttemptMs: (operation) => this.observer.estimateLongMs(operation),
    });
    const buffers = new BufferBudget({
      maxBytes: computeBudgetBytes(settings.maxMemoryBytes),
      readNow: () => clock.now(),
    });
    this.upstreamClient = new UndiciUpstreamClient({
      clock,
      connectionsPerUpstream,
      connectTimeoutMs,
      dialect,
      buffers,
    });
    this.loadMonitor = new LoadMonitor({
      clock,
      log,
      readTotals: () => ({ processorMs: readProcessorMs(), ...socket.totals }),
      readValues: () => ({ feedAgeMs: Math.round(this.subscriber.feedAgeMs) }),
    });
    const metrics = this.createMetrics();
    this.callers = new HttpFrontEnd({
      handler: this.createHandler(metrics),
      clock,
      log,
      dialect,
      maxHeaderBytes,
      buffers,
      listenerConnections: this.connections.callers,
    });
    const readState = (): HostStateName => this.getState();
    const common = { clock, log, metrics, readState, budget: buffers };
    this.platform = new PlatformFrontEnd({
      ...common,
      listenerConnections: this.connections.platform,
    });
    this.metricsFrontEnd = new PlatformFrontEnd({
      ...common,
      listenerConnections: this.connections.metrics,
    });
    this.shutdown = this.createShutdown();
  }

  /**
   * Opens the listeners, then starts the tasks. Rejects with a `FailureError` when a listener can't
   * be opened by the deadline for addresses.
   */
  static async startHost(options: FleetEntryOptions): Promise<FleetEntryHost> {
    const { listen, peerKey, maxDescriptors } = options.settings;
    const { clock, log, addressDeadline: deadline, stopSignal: signal } = options;
    const waiting = { clock, log, deadline, signal };
    const socket = await openWhenFree({
      ...waiting,
      open: () => UdpDatagramSocket.openSocket({ address: listen.peers, peerKey, log }),
    });
    const connections = await createListeners({
      ...{ clock, log },
      settings: { maxDescriptors },
      names: listenerNames,
      splitDescriptors: splitEntryDescriptors,
    });
    const host = new FleetEntryHost(options, { socket, connections });
    const openAll = [
      () => host.platform.openListener(listen.platform),
      () => host.metricsFrontEnd.openListener(listen.metrics),
      () => host.callers.openListener(listen.callers),
    ];
    await Promise.all(openAll.map((open) => openWhenFree({ ...waiting, open })));
    host.startTasks();
    return host;
  }

  async stop(): Promise<void> {
    const { clock, log } = this.options;
    await this.shutdown.stopHost();
    const steps = new StopSteps({ clock, log, deadline: clock.now() + closeMs });
    await steps.runStep('ending the tasks', () => this.tasks.stop());
    await Promise.all([
      steps.runStep('closing the connections to upstreams', () => this.upstreamClient.close()),
      steps.runStep('closing the platform listener', () => this.platform.closeListener()),
      steps.runStep('closing the metrics listener', () => this.metricsFrontEnd.closeListener()),
    ]);
    await steps.runStep('closing the datagram socket', () => this.socket.close());
    await steps.runStep('closing the connections to peers', () => this.dialer.close());
  }

  // Never resolves: every component of an entry host recovers without a restart.
  waitFailed(): Promise<string> {
    return new Promise(() => undefined);
  }

  private startTasks(): void {
    this.tasks.startTask('feed', (signal) => this.subscriber.run(signal));
    this.tasks.startTask('exchange', (signal) => this.exchange.run(signal));
    this.tasks.startTask('suspicions', (signal) => this.observer.run(signal));
    this.tasks.startTask('load', (signal) => this.loadMonitor.run(signal));
  }

  private handlePreset(limits: Preset['limits']): void {
    this.callers.useLimits(limits);
    if (this.hasRequestedSuspicions) return;
    // The list of peers arrives before the first preset or together with it, so this host can
    // request their suspicions now.
    this.hasRequestedSuspicions = true;
    this.exchange.requestSuspicions();
  }

  private getState(): HostStateName {
    if (this.stopSchedule.isStopping) return 'stopping';
    return this.view.isReady ? 'ready' : 'starting';
  }

  private createExchange(): DomainExchange {
    const { settings, clock, log } = this.options;
    return new DomainExchange({
      clock,
      log,
      socket: this.socket,
      ownAddress: formatAddress(settings.listen.peers),
      listPeers: () => this.view.entryHosts.map(({ address }) => address),
      findRelay: () => this.findRelay(),
      suspicions: this.suspicions,
      statements: this.statements,
      ledger: this.retryBudgets,
      quotas: this.quotas,
      countHosts: () => this.view.domainSize,
      onDomainSize: (hosts) => this.view.recordDomainSize(hosts),
    });
  }

  // The relay is the control host that this host follows, provided that it is in the same failure
  // domain: traffic between failure domains is expensive.
  private findRelay(): string | undefined {
    const { failureDomain } = this.options.settings;
    const { source } = this.subscriber;
    const host = this.view.controlHosts.find(({ address }) => address === source);
    return host?.failureDomain === failureDomain ? source : undefined;
  }

  private createHandler(metrics: PrometheusMetrics): RequestHandler {
    const { view, upstreamClient, exchange, observer, suspicions, statements } = this;
    return createFleetHandler({
      ...this.options,
      ...{ view, upstreamClient, exchange, observer, suspicions, statements, metrics },
      stopLimiter: this.stopSchedule,
      budgets: this.retryBudgets,
      gates: createGates(this.quotas),
    });
  }

  private createMetrics(): PrometheusMetrics {
    const { view, subscriber, socket, statements, loadMonitor, upstreamClient } = this;
    return createEntryMetrics({
      ...{ view, subscriber, socket, statements, loadMonitor, upstreamClient },
      clock: this.options.clock,
      connections: Object.values(this.connections),
    });
  }

  private startStop(): number {
    const answerDeadline = this.stopSchedule.startStop();
    this.upstreamClient.setLatestDeadline(answerDeadline);
    return answerDeadline;
  }

  private createShutdown(): Shutdown {
    const { settings, clock, log } = this.options;
    return createFleetShutdown({
      ...{ clock, log },
      readiness: { markStopping: () => this.startStop() },
      listeners: [this.callers],
      stopGraceMs: settings.stopGraceMs,
    });
  }
}
