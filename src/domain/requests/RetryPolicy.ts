import type { UpstreamEnd } from './UpstreamEnd.ts';

/** Decides whether a request may be sent to another upstream after an attempt ended. */
export default interface RetryPolicy {
  mayRetry(end: UpstreamEnd): boolean;
}
