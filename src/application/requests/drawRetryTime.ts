import type ErrorKind from '../../domain/errors/ErrorKind.ts';
import type Failure from '../../domain/errors/Failure.ts';
import type RandomSource from '../../ports/RandomSource.ts';

interface RetryTimes {
  readonly minMs: number;
  readonly spreadMs: number;
}

// Capacity is free again once the requests in the slots are answered, which takes 0.2 s to 1 s.
const whenFull: RetryTimes = { minMs: 400, spreadMs: 800 };
// After all processes were killed and restarted, hosts had the preset again 1.0 s to 1.3 s after
// their start. A second refusal would cost a caller more time than a longer wait.
const whenStarting: RetryTimes = { minMs: 1200, spreadMs: 600 };
// Another host can serve the request at once.
const whenStopping: RetryTimes = { minMs: 0, spreadMs: 100 };

/** Times of the refusals that don't come from a lack of room. */
const timesOfKinds: Partial<Record<ErrorKind, RetryTimes>> = {
  host_not_ready: whenStarting,
  host_stopping: whenStopping,
};

// Callers that were refused until a known instant come back over this time.
const spreadAfterMs = 800;

/**
 * Returns the instant at which a refused caller should retry, with jitter, so that not all callers
 * retry at the same time.
 */
export default function drawRetryTime(failure: Failure, now: number, random: RandomSource): number {
  const retryAt = 'retryAt' in failure ? failure.retryAt : undefined;
  // The credit of a team becomes free over time, and the instants are drawn from it.
  if (retryAt !== undefined && failure.kind === 'quota_exceeded') return retryAt;
  if (retryAt !== undefined) return Math.max(now, retryAt) + spreadAfterMs * random.next();
  const { minMs, spreadMs } = timesOfKinds[failure.kind] ?? whenFull;
  return now + minMs + spreadMs * random.next();
}
