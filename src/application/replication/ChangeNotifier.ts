import type Clock from '../../ports/Clock.ts';

/** Wakes tasks that wait for a condition. */
export default class ChangeNotifier {
  private readonly clock: Clock;

  private readonly waiters = new Set<AbortController>();

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /** Wakes all waiting tasks, so that each checks its condition again. */
  announceChange(): void {
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach((waiter) => waiter.abort('changed'));
  }

  /** Resolves once the condition is true, or at the deadline. */
  async waitUntil(isMet: () => boolean, deadline: number): Promise<void> {
    while (!isMet() && this.clock.now() < deadline) {
      const waiter = new AbortController();
      this.waiters.add(waiter);
      await this.clock.sleepUntil(deadline, waiter.signal);
      this.waiters.delete(waiter);
    }
  }
}
