import type { PeerAddress } from '../../domain/membership/choosePeers.ts';
import type Clock from '../../ports/Clock.ts';
import type GossipLink from '../../ports/GossipLink.ts';
import type { GossipMessage } from '../../ports/GossipLink.ts';

const exchangeIntervalMs = 500;
// Full exchanges repair what the exchanges of changes may have missed.
const fullIntervalMs = 30_000;
// Urgent changes that arrive within this time are sent together; a longer time would add to the
// delay of each hop.
const urgentGapMs = 20;

/** How far this host and the peer have exchanged their changes over this link. */
export interface LinkPosition {
  /** This host's changes up to this instant were sent; by the clock of this host. */
  readonly sentUntil: number;
  /** The peer's changes up to this instant were received; by the clock of the peer. */
  readonly receivedUntil: number;
  /** Keys of the records that the peer requested in the last exchange, by topic. */
  readonly requested: GossipMessage['digests'];
}

/** Options of a task. */
export interface GossipPeerTaskOptions {
  readonly peer: PeerAddress;
  readonly link: GossipLink;
  readonly clock: Clock;
  /** Offset of this task within the interval, as a share from 0 up to 1. */
  readonly phase: number;
  /** Runs one exchange and returns whether the peer answered. Never rejects. */
  readonly exchangeOnce: (task: GossipPeerTask) => Promise<boolean>;
}

/** Exchanges records with one peer at regular intervals, and immediately after urgent changes. */
export default class GossipPeerTask {
  readonly peer: PeerAddress;

  readonly link: GossipLink;

  /** Whether the last exchange succeeded; undefined before the first. */
  isAnswering: boolean | undefined;

  private readonly options: GossipPeerTaskOptions;

  private position: LinkPosition | undefined;

  private nextFullAt = 0;

  private readonly stopped = new AbortController();

  private urgentExchange = new AbortController();

  constructor(options: GossipPeerTaskOptions) {
    this.options = options;
    this.peer = options.peer;
    this.link = options.link;
  }

  get isStopped(): boolean {
    return this.stopped.signal.aborted;
  }

  /** Runs until `stop` is called, then closes the link. */
  async run(): Promise<void> {
    const { clock, exchangeOnce } = this.options;
    while (!this.isStopped) {
      const startedAt = clock.now();
      this.urgentExchange = new AbortController();
      this.isAnswering = await exchangeOnce(this);
      if (this.isAnswering) {
        await clock.sleepUntil(startedAt + urgentGapMs, this.stopped.signal);
        await clock.sleepUntil(
          this.computeNext(startedAt, exchangeIntervalMs),
          this.urgentExchange.signal,
        );
      } else {
        // A peer that does not answer is tried at the regular interval only, even after urgent
        // changes.
        await clock.sleepUntil(startedAt + exchangeIntervalMs, this.stopped.signal);
      }
    }
    // Sends the last records of a stopping host, such as the withdrawal of its own record.
    if (this.isAnswering) await exchangeOnce(this);
    this.link.close();
  }

  /** Position after the last successful exchange; undefined when a full one is due. */
  getPosition(): LinkPosition | undefined {
    return this.options.clock.now() < this.nextFullAt ? this.position : undefined;
  }

  /** Records a successful exchange. */
  setPosition(position: LinkPosition, startedAt: number): void {
    if (!this.getPosition()) this.nextFullAt = this.computeNext(startedAt, fullIntervalMs);
    this.position = position;
  }

  /** Makes the next exchange a full one. */
  resetPosition(): void {
    this.position = undefined;
  }

  /** Starts the next exchange without waiting for the interval. */
  exchangeNow(): void {
    this.urgentExchange.abort();
  }

  /** Stops `run` after the exchange in progress and a final one. */
  stop(): void {
    this.stopped.abort();
    this.urgentExchange.abort();
  }

  // The next instant at this task's offset within the interval; an exchange that an urgent change
  // started does not shift the schedule.
  private computeNext(startedAt: number, intervalMs: number): number {
    const offset = this.options.phase * intervalMs;
    const passedIntervals = Math.floor((startedAt - offset) / intervalMs);
    return (passedIntervals + 1) * intervalMs + offset;
  }
}
