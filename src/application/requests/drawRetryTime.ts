import type ErrorKind from '../../domain/errors/ErrorKind.ts';
import type RandomSource from '../../ports/RandomSource.ts';

interface RetryTimes {
  readonly minMs: number;
  readonly spreadMs: number;
}

// Capacity is free again once the requests in the slots are answered, which takes 0.2 s to 1 s.
const whenFull: RetryTimes = { minMs: 400, spreadMs: 800 };
// When all processes were killed, hosts had the preset again 1.0 s to 1.3 s after their start. A
// caller that is refused twice has less time left than one that waits longer.
const whenStarting: RetryTimes = { minMs: 1200, spreadMs: 600 };

/** Returns when a refused caller should retry, with jitter, so that not all retry at once. */
export default function drawRetryTime(kind: ErrorKind, now: number, random: RandomSource): number {
  const { minMs, spreadMs } = kind === 'host_not_ready' ? whenStarting : whenFull;
  return now + minMs + spreadMs * random.next();
}
