/** Provides the current time and timers. */
export default interface Clock {
  /** Returns the milliseconds since the epoch; the value never decreases within a process. */
  now(): number;
  /**
   * Resolves at the deadline, immediately if the deadline has passed, or early if the signal
   * aborts. Never rejects.
   */
  sleepUntil(deadline: number, signal?: AbortSignal): Promise<void>;
  /**
   * Resolves after the callbacks that are already pending in the event loop have run, so that a
   * long computation does not delay them.
   */
  yieldToEventLoop(): Promise<void>;
}
