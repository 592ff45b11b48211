import type Clock from '../../ports/Clock.ts';

const checkIntervalMs = 500;
// A key counts for at most 2 s after a preset withdrew it. After a shorter pause, the
// feed delivers the preset within that time.
const pauseMs = 1000;
// After a pause, a host that is cut off from the control group goes on with the preset that it has.
const maxUnconfirmedMs = 1500;

/**
 * Tells whether this process was paused, so that it may have missed a preset. The time of timers
 * does not show it: after a pause, requests that had arrived are handled before timers run.
 */
export default class FeedFreshness {
  private readonly clock: Clock;

  private checkedAt: number;

  /** End of the last pause; undefined once a later request for changes was answered. */
  private resumedAt: number | undefined;

  constructor(clock: Clock) {
    this.clock = clock;
    this.checkedAt = clock.now();
  }

  /** Whether this process was paused and no control host has confirmed its preset since then. */
  get mayBeOutdated(): boolean {
    this.checkPause();
    return this.resumedAt !== undefined && this.clock.now() < this.resumedAt + maxUnconfirmedMs;
  }

  /** Records that a control host that is current answered a request that was sent at `sentAt`. */
  recordAnswer(sentAt: number): void {
    this.checkPause();
    if (this.resumedAt !== undefined && sentAt >= this.resumedAt) this.resumedAt = undefined;
  }

  /** Looks for pauses until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.checkedAt = this.clock.now();
    while (!signal.aborted) {
      await this.clock.sleepUntil(this.clock.now() + checkIntervalMs, signal);
      this.checkPause();
    }
  }

  private checkPause(): void {
    const now = this.clock.now();
    if (now - this.checkedAt > pauseMs) this.resumedAt = now;
    this.checkedAt = now;
  }
}
