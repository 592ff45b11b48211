import type Clock from '../../ports/Clock.ts';

/** Wakes a waiting task before its deadline; a wake-up with nobody waiting ends the next wait. */
export default class Wakeup {
  private controller = new AbortController();

  private readonly clock: Clock;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Ends the current waits, or the next one. */
  release(): void {
    this.controller.abort('released');
  }

  /** Resolves at the deadline or when released; callers check again what they wait for. */
  async waitUntil(deadline: number): Promise<void> {
    const { controller } = this;
    await this.clock.sleepUntil(deadline, controller.signal);
    if (this.controller === controller) this.controller = new AbortController();
  }
}
