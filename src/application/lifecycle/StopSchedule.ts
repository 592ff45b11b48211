import type Clock from '../../ports/Clock.ts';
import type StopLimiter from '../requests/StopLimiter.ts';

// Time for the last answers to reach their callers and for the process to exit.
const deliveryMs = 500;

/** Options of the schedule. */
export interface StopScheduleOptions {
  readonly clock: Clock;
  /** Time after the stop signal at which the platform kills the process, in milliseconds. */
  readonly killMs: number;
  /** Time that few attempts of the operation exceed, in milliseconds. */
  readonly estimateAttemptMs: (operation: string) => number;
}

/** The deadline by which a host that stops has answered all requests. */
export default class StopSchedule implements StopLimiter {
  private readonly options: StopScheduleOptions;

  private answerDeadline: number | undefined;

  constructor(options: StopScheduleOptions) {
    this.options = options;
  }

  /** Starts the stop, unless it has started, and returns the deadline for the last answer. */
  startStop(): number {
    const { clock, killMs } = this.options;
    this.answerDeadline ??= clock.now() + Math.max(0, killMs - deliveryMs);
    return this.answerDeadline;
  }

  get isStopping(): boolean {
    return this.answerDeadline !== undefined;
  }

  mayStart(operation: string): boolean {
    if (this.answerDeadline === undefined) return true;
    const { clock, estimateAttemptMs } = this.options;
    return clock.now() + estimateAttemptMs(operation) <= this.answerDeadline;
  }
}
