import { setMaxListeners } from 'node:events';

import type Clock from '../../ports/Clock.ts';

/**
 * Wakes waiting tasks before their deadline. After a notification while no task waits, the next
 * wait returns immediately.
 */
export default class Notifier {
  private controller = Notifier.createController();

  private readonly clock: Clock;

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Wakes all waiting tasks, or makes the next wait return immediately. */
  notify(): void {
    this.controller.abort('notified');
  }

  /** Resolves at the deadline or on a notification; callers must check their condition again. */
  async waitUntil(deadline: number): Promise<void> {
    const { controller } = this;
    await this.clock.sleepUntil(deadline, controller.signal);
    if (this.controller === controller) this.controller = Notifier.createController();
  }

  // Many tasks may wait at the same time; by default, Node.js warns above 10 listeners.
  private static createController(): AbortController {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    return controller;
  }
}
