import type Clock from '../../ports/Clock.ts';

// Node.js fires timers with a longer delay immediately.
const maxTimerMs = 2 ** 31 - 1;

/**
 * Operating system time at the start of the process plus the monotonic time since then, so that the
 * time never goes back.
 */
export default class SystemClock implements Clock {
  now(): number {
    return performance.timeOrigin + performance.now();
  }

  async sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    while (this.now() < deadline && !signal?.aborted) {
      await this.sleepOnce(Math.min(deadline - this.now(), maxTimerMs), signal);
    }
  }

  yieldToEventLoop(): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  private sleepOnce(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const end = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', end);
        resolve();
      };
      timer = setTimeout(end, delayMs);
      signal?.addEventListener('abort', end, { once: true });
    });
  }
}
