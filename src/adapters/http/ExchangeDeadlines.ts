import Notifier from '../../application/tasks/Notifier.ts';
import type Clock from '../../ports/Clock.ts';
import type UpstreamExchange from './UpstreamExchange.ts';

/**
 * Checks exchanges at their deadlines. One task waits for the earliest of all deadlines: nearly
 * every exchange finishes long before its deadline, and a timer with an abort signal for each one
 * would be a large part of the cost of a request.
 */
export default class ExchangeDeadlines {
  private readonly clock: Clock;

  private readonly notifier: Notifier;

  private readonly deadlines = new Map<UpstreamExchange, number>();

  private wakeAt = Infinity;

  /** Deadline of all exchanges that have a later one. */
  private latest = Infinity;

  private isClosed = false;

  private task: Promise<void> | undefined;

  constructor(clock: Clock) {
    this.clock = clock;
    this.notifier = new Notifier(clock);
  }

  addExchange(exchange: UpstreamExchange): void {
    const deadline = exchange.firstCheckAt;
    this.deadlines.set(exchange, deadline);
    if (!this.task) this.task = this.run();
    else if (deadline < this.wakeAt) this.notifier.notify();
  }

  removeExchange(exchange: UpstreamExchange): void {
    this.deadlines.delete(exchange);
  }

  /** Ends the exchanges that are still open at the deadline. */
  setLatest(deadline: number): void {
    this.latest = deadline;
    if (deadline < this.wakeAt) this.notifier.notify();
  }

  /** Resolves when the task has finished. Must not be called while an exchange is open. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.notifier.notify();
    await this.task;
  }

  // The task keeps sleeping when the last exchange finishes, because the next exchange most likely
  // has a later deadline.
  private async run(): Promise<void> {
    while (this.deadlines.size > 0 && !this.isClosed) {
      this.wakeAt = this.findEarliestDeadline();
      await this.notifier.waitUntil(this.wakeAt);
      const now = this.clock.now();
      // Timers run before reading, so only the end of this turn shows what has arrived by now.
      if (now >= this.wakeAt) await this.clock.yieldToEventLoop();
      this.checkOverdue(now);
    }
    this.wakeAt = Infinity;
    this.task = undefined;
  }

  private findEarliestDeadline(): number {
    return [...this.deadlines.values()].reduce(
      (earliest, deadline) => Math.min(earliest, deadline),
      this.latest,
    );
  }

  private checkOverdue(now: number): void {
    if (now >= this.latest) {
      [...this.deadlines.keys()].forEach((exchange) => exchange.cancelExchange('timed_out'));
      this.deadlines.clear();
      return;
    }
    [...this.deadlines]
      .filter(([, deadline]) => deadline <= now)
      .forEach(([exchange]) => {
        const nextCheckAt = exchange.checkDeadline();
        if (nextCheckAt < Infinity) this.deadlines.set(exchange, nextCheckAt);
        else this.deadlines.delete(exchange);
      });
  }
}
