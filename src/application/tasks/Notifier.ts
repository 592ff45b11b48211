import { setMaxListeners } from 'node:events';

import type Clock from '../../ports/Clock.ts';

/**
 * Wakes waiting tasks before their deadline. A notification while no task waits ends the next wait
 * at once.
 */
export default class Notifier {
  private controller = Notifier.createController();

  private readonly clock: Clock;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Ends the current waits, or the next one. */
  notify(): void {
    this.controller.abort('notified');
  }

  /** Resolves at the deadline or on a notification; callers must check their condition again. */
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
