import { setMaxListeners } from 'node:events';

import type Log from '../ports/Log.ts';

/** Owns the tasks of a daemon: starts them, awaits them and logs which have ended or failed. */
export default class TaskGroup {
  private readonly log: Log;

  private readonly stopping = new AbortController();

  private readonly running: Promise<void>[] = [];

  constructor(options: { readonly log: Log }) {
    this.log = options.log;
    // Every task, and every wait in a task, adds a listener to this signal; Node.js warns above 10.
    setMaxListeners(0, this.stopping.signal);
  }

  /** Starts a task that runs until its signal aborts. */
  startTask(name: string, run: (signal: AbortSignal) => Promise<void>): void {
    this.running.push(this.runTask(name, run));
  }

  /** Aborts all tasks and resolves when they have ended. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all(this.running);
  }

  private async runTask(name: string, run: (signal: AbortSignal) => Promise<void>): Promise<void> {
    try {
      await run(this.stopping.signal);
      this.log.debug('lifecycle: a task ended', { task: name });
    } catch (error) {
      this.log.error('lifecycle: a task failed', { task: name, error: (error as Error).message });
    }
  }
}
