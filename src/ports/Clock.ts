/** Provides the current time and timers. */
export default interface Clock {
  /** Returns the milliseconds since the epoch; the value never decreases within a process. */
  now(): number;
  /**
   * Resolves at the deadline, immediately when it has passed, or early when the signal aborts.
   * Never rejects.
   */
  sleepUntil(deadline: number, signal?: AbortSignal): Promise<void>;
  /**
   * Resolves after the callbacks that are already pending in the event loop, so that a long
   * computation does not delay them.
   */
  yieldToEventLoop(): Promise<void>;
}
