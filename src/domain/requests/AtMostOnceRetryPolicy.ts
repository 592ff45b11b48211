import type RetryAllowance from './RetryAllowance.ts';
import type RetryPolicy from './RetryPolicy.ts';
import type { AttemptTimes } from './RetryPolicy.ts';
import type { AttemptResult } from './AttemptResult.ts';

/** For operations that must not repeat: another try only where nothing can have run. */
export default class AtMostOnceRetryPolicy implements RetryPolicy {
  private readonly budget: RetryAllowance;

  constructor(budget: RetryAllowance) {
    this.budget = budget;
  }

  isRetryable(end: AttemptResult): boolean {
    return end === 'not_sent' || end === 'not_run';
  }

  readScarcity(): number {
    return 1;
  }

  mayRetry(end: AttemptResult): boolean {
    if (!this.isRetryable(end)) return false;
    // Only a retry that follows an answer adds to the load of the service.
    return end === 'not_sent' || this.budget.takeRetry();
  }

  /** The whole deadline: after a timeout the operation may have run and no attempt may follow. */
  computeAttemptDeadline({ deadline }: AttemptTimes): number {
    return deadline;
  }
}
