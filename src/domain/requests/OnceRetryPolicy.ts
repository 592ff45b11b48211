import type RetryPolicy from './RetryPolicy.ts';
import type { UpstreamEnd } from './UpstreamEnd.ts';

/** For operations that must not repeat: another try only where nothing can have run. */
export default class OnceRetryPolicy implements RetryPolicy {
  mayRetry(end: UpstreamEnd): boolean {
    return end === 'not_run';
  }
}
