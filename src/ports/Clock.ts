/** The time of this process. */
export default interface Clock {
  /** Milliseconds since the epoch; never goes back within a process. */
  now(): number;
  /**
   * Resolves at the deadline, at once when it has passed, or early when the signal aborts. Never
   * rejects.
   */
  sleepUntil(deadline: number, signal?: AbortSignal): Promise<void>;
  /** Resolves after the other work that is ready now, so that long work does not delay it. */
  yieldToEventLoop(): Promise<void>;
}
