import type { PeerAddress } from '../../domain/membership/choosePeers.ts';
import type Clock from '../../ports/Clock.ts';
import type GossipLink from '../../ports/GossipLink.ts';

const exchangeIntervalMs = 500;
// News that arrive together are sent together; with more, each hop would add to the delay.
const newsGapMs = 20;

/** What a task needs; `exchangeOnce` runs one exchange and never rejects. */
export interface GossipPeerTaskOptions {
  readonly peer: PeerAddress;
  readonly link: GossipLink;
  readonly clock: Clock;
  /** Place of this task within the interval, from 0 up to 1. */
  readonly phase: number;
  readonly exchangeOnce: (task: GossipPeerTask) => Promise<boolean>;
}

/** Exchanges with one peer at intervals, and at once on news. */
export default class GossipPeerTask {
  readonly peer: PeerAddress;

  readonly link: GossipLink;

  /** Whether the last exchange succeeded; undefined before the first. */
  isAnswering: boolean | undefined;

  private readonly options: GossipPeerTaskOptions;

  private readonly stopped = new AbortController();

  private news = new AbortController();

  constructor(options: GossipPeerTaskOptions) {
    this.options = options;
    this.peer = options.peer;
    this.link = options.link;
  }

  get isStopped(): boolean {
    return this.stopped.signal.aborted;
  }

  /** Runs until it is stopped, then closes the link. */
  async run(): Promise<void> {
    const { clock, exchangeOnce } = this.options;
    while (!this.isStopped) {
      const startedAt = clock.now();
      this.news = new AbortController();
      this.isAnswering = await exchangeOnce(this);
      if (this.isAnswering) {
        await clock.sleepUntil(startedAt + newsGapMs, this.stopped.signal);
        await clock.sleepUntil(this.computeNext(startedAt), this.news.signal);
      } else {
        // News do not hurry a peer that does not answer.
        await clock.sleepUntil(startedAt + exchangeIntervalMs, this.stopped.signal);
      }
    }
    // Passes the last records of a host that stops on, such as its own withdrawal.
    if (this.isAnswering) await exchangeOnce(this);
    this.link.close();
  }

  /** Begins the next exchange without waiting for the interval. */
  sendNews(): void {
    this.news.abort();
  }

  /** Ends `run` after the exchange that is open and a last one. */
  stop(): void {
    this.stopped.abort();
    this.news.abort();
  }

  // The next instant at the phase of this task, also after an exchange that news began.
  private computeNext(startedAt: number): number {
    const offset = this.options.phase * exchangeIntervalMs;
    const passed = Math.floor((startedAt - offset) / exchangeIntervalMs);
    return (passed + 1) * exchangeIntervalMs + offset;
  }
}
