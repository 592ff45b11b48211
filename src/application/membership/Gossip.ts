import type HostDirectory from '../../domain/membership/HostDirectory.ts';
import type GossipTopic from '../../domain/membership/GossipTopic.ts';
import choosePeers, { computePhase } from '../../domain/membership/choosePeers.ts';
import type { PeerAddress } from '../../domain/membership/choosePeers.ts';
import type Clock from '../../ports/Clock.ts';
import type GossipLink from '../../ports/GossipLink.ts';
import type { GossipMessage } from '../../ports/GossipLink.ts';
import type Log from '../../ports/Log.ts';
import type PeerDialer from '../../ports/PeerDialer.ts';
import GossipMessages from './GossipMessages.ts';
import GossipPeerTask from './GossipPeerTask.ts';

const peerCount = 6;
const exchangeTimeoutMs = 1000;
const partitionedAfterMs = 3000;
const checkIntervalMs = 250;
// Interval at which another missing peer is tried.
const missingPeerRotationMs = 5000;

/** Records whose leases expire. */
export interface ExpiringRecords {
  /** Sets the instant after which no lease expires. */
  setExpiryLimit(limit: number): void;
  dropExpired(now: number): readonly unknown[];
}

/** Options of the gossip. */
export interface GossipOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly ownHost: string;
  /** Control hosts listed in the settings. */
  readonly seeds: readonly PeerAddress[];
  readonly hosts: HostDirectory;
  /** All topics that are exchanged, including the host directory. */
  readonly topics: readonly GossipTopic[];
  /** Directories whose expired records are dropped unless this host is partitioned. */
  readonly expiringRecords: readonly ExpiringRecords[];
  readonly dialer: PeerDialer<GossipLink>;
}

/** Counters for the metrics. */
export interface GossipCounts {
  readonly exchanges: number;
  readonly failedExchanges: number;
  readonly peers: number;
  readonly answeringPeers: number;
  readonly isPartitioned: boolean;
}

/** Synchronizes the records of all topics between hosts, with one task for each peer. */
export default class Gossip {
  private readonly options: GossipOptions;

  private readonly tasks = new Map<string, GossipPeerTask>();

  private readonly running = new Set<Promise<void>>();

  private readonly messages: GossipMessages;

  private lastContactAt: number;

  private exchanges = 0;

  private failedExchanges = 0;

  private lastChoice = '';

  private wasPartitioned = false;

  constructor(options: GossipOptions) {
    this.options = options;
    this.messages = new GossipMessages(options);
    this.lastContactAt = options.clock.now();
  }

  /** Runs until the signal aborts and all tasks are finished. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    this.lastContactAt = clock.now();
    while (!signal.aborted) {
      this.checkPartition();
      this.dropExpired();
      this.updatePeers();
      await clock.sleepUntil(clock.now() + checkIntervalMs, signal);
    }
    this.tasks.forEach((task) => task.stop());
    await Promise.all(this.running);
  }

  /**
   * Starts an exchange with every peer immediately; called after a record of this host changed.
   */
  exchangeNow(): void {
    this.tasks.forEach((task) => task.exchangeNow());
  }

  /** Whether this host has peers but had no contact with any of them for 3 s. */
  isPartitioned(): boolean {
    const isSilent = this.options.clock.now() - this.lastContactAt >= partitionedAfterMs;
    return isSilent && this.listKnown().length > 0;
  }

  /**
   * Handles a peer's exchange: stores its records, returns those that the peer lacks and requests
   * those that this host lacks.
   */
  handleExchange(message: GossipMessage): GossipMessage {
    this.mergeMessage(message);
    const answer = this.messages.createAnswer(message);
    if (!answer) return { digests: {}, records: {}, mustRestart: true };
    if (answer.isComplete) this.lastContactAt = this.options.clock.now();
    return answer.message;
  }

  /** Counters since the start. */
  getCounts(): GossipCounts {
    const tasks = [...this.tasks.values()];
    return {
      exchanges: this.exchanges,
      failedExchanges: this.failedExchanges,
      peers: tasks.length,
      answeringPeers: tasks.filter(({ isAnswering }) => isAnswering).length,
      isPartitioned: this.isPartitioned(),
    };
  }

  private async exchangeOnce(task: GossipPeerTask): Promise<boolean> {
    const { clock, log } = this.options;
    const startedAt = clock.now();
    const position = task.getPosition();
    const answer = await this.sendMessage(task, this.messages.createRequest(position));
    if (answer?.mustRestart && position) {
      task.resetPosition();
      return this.exchangeOnce(task);
    }
    if (answer) {
      this.mergeMessage(answer);
      this.lastContactAt = clock.now();
      const delivery = this.messages.createDelivery(answer);
      // The peer acknowledges the records with an empty answer. Without that answer, the position
      // does not advance, so that the next exchange offers the records again.
      const isDelivered = !delivery || (await this.sendMessage(task, delivery)) !== undefined;
      if (isDelivered && answer.preparedAt !== undefined) {
        const { preparedAt: receivedUntil, digests: requested } = answer;
        task.setPosition({ sentUntil: startedAt, receivedUntil, requested }, startedAt);
      }
    }
    const isAnswering = answer !== undefined;
    if (task.isAnswering !== isAnswering && !task.isStopped) {
      const text = isAnswering ? 'peer answers' : 'peer does not answer';
      log.info(`membership: ${text}`, { peer: task.peer.host, address: task.peer.address });
    }
    return isAnswering;
  }

  private async sendMessage(
    task: GossipPeerTask,
    message: GossipMessage,
  ): Promise<GossipMessage | undefined> {
    this.exchanges += 1;
    const deadline = this.options.clock.now() + exchangeTimeoutMs;
    const answer = await task.link.exchangeRecords(message, deadline);
    if (answer.ok) return answer.value;
    this.failedExchanges += 1;
    return undefined;
  }

  private mergeMessage(message: GossipMessage): void {
    if (this.messages.mergeMessage(message)) this.exchangeNow();
  }

  private checkPartition(): void {
    const isPartitioned = this.isPartitioned();
    if (isPartitioned !== this.wasPartitioned) {
      const text = isPartitioned
        ? 'no contact with any peer for 3 s; no record expires until there is contact again'
        : 'contact with a peer was restored';
      this.options.log.warn(`membership: ${text}`);
    }
    this.wasPartitioned = isPartitioned;
    const limit = this.listKnown().length > 0 ? this.lastContactAt + partitionedAfterMs : Infinity;
    this.options.expiringRecords.forEach((records) => records.setExpiryLimit(limit));
  }

  private dropExpired(): void {
    const now = this.options.clock.now();
    const dropped = this.options.expiringRecords.flatMap((records) => records.dropExpired(now));
    if (dropped.length === 0) return;
    this.options.log.info('membership: dropped records with expired leases', {
      count: dropped.length,
    });
  }

  private listLive(): readonly PeerAddress[] {
    const { hosts, clock, ownHost } = this.options;
    return hosts
      .listLive(clock.now())
      .filter(({ host }) => host !== ownHost)
      .map(({ host, peerAddress }) => ({ host, address: peerAddress }));
  }

  private listKnown(): readonly PeerAddress[] {
    return [...this.listLive(), ...this.options.seeds].filter(
      ({ host }) => host !== this.options.ownHost,
    );
  }

  private updatePeers(): void {
    const { hosts, clock, ownHost, seeds } = this.options;
    const live = this.listLive();
    const liveHosts = new Set(live.map(({ host }) => host));
    const lost = hosts.listLost().map(({ host, peerAddress }) => ({ host, address: peerAddress }));
    const missing = [
      ...new Map([...lost, ...seeds].map((peer) => [peer.host, peer])).values(),
    ].filter(({ host }) => !liveHosts.has(host));
    const rotation = missing.length > 0 ? Math.floor(clock.now() / missingPeerRotationMs) : 0;
    const choice = { ownHost, live, missing, count: peerCount, rotation };
    const key = JSON.stringify(choice);
    if (key === this.lastChoice) return;
    this.lastChoice = key;
    this.startTasks(choosePeers(choice));
  }

  private startTasks(peers: readonly PeerAddress[]): void {
    const wanted = new Map(peers.map((peer) => [`${peer.host} ${peer.address}`, peer]));
    [...this.tasks].forEach(([key, task]) => {
      if (wanted.has(key)) return;
      this.tasks.delete(key);
      task.stop();
    });
    wanted.forEach((peer, key) => {
      if (!this.tasks.has(key)) this.tasks.set(key, this.startTask(peer));
    });
  }

  private startTask(peer: PeerAddress): GossipPeerTask {
    const task = new GossipPeerTask({
      peer,
      clock: this.options.clock,
      link: this.options.dialer.openLink(peer),
      phase: computePhase(this.options.ownHost, peer.host),
      exchangeOnce: (own) => this.exchangeOnce(own),
    });
    const finished = this.runTask(task);
    this.running.add(finished);
    finished.then(() => this.running.delete(finished)).catch(() => undefined);
    return task;
  }

  private async runTask(task: GossipPeerTask): Promise<void> {
    const { host: peer } = task.peer;
    try {
      await task.run();
      this.options.log.debug('membership: the gossip task of a peer stopped', { peer });
    } catch (error) {
      const { message } = error as Error;
      this.options.log.error('membership: the gossip task of a peer failed', {
        peer,
        error: message,
      });
    }
  }
}
