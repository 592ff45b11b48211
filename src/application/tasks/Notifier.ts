import { setMaxListeners } from 'node:events';

import type Clock from '../../ports/Clock.ts';

/** Wakes a waiting task before its deadline; a wake-up with nobody waiting ends the next wait. */
export default class Notifier {
  private controller = Notifier.createController();

  private readonly clock: Clock;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Ends the current waits, or the next one. */
  notify(): void {
    this.controller.abort('released');
  }

  /** Resolves at the deadline or when released; callers check again what they wait for. */
  async waitUntil(deadline: number): Promise<void> {
    const { controller } = this;
    await this.clock.sleepUntil(deadline, controller.signal);
    if (this.controller === controller) this.controller = Notifier.createController();
  }

  // Many tasks may wait at once; Node.js warns above 10 listeners.
  private static createController(): AbortController {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    return controller;
  }
}
