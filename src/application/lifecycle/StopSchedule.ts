import type Clock from '../../ports/Clock.ts';
import type StopLimiter from '../requests/StopLimiter.ts';

// Time for the last answers to reach their callers, for listeners and connections to close, and for
// the process to exit; on a busy machine each of these is late.
const maxDeliveryMs = 900;
// A host that is killed soon keeps most of its time for the answers.
const maxDeliveryShare = 0.2;

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
    const deliveryMs = Math.min(maxDeliveryMs, killMs * maxDeliveryShare);
    this.answerDeadline ??= clock.now() + killMs - deliveryMs;
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
