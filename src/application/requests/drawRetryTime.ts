import type ErrorKind from '../../domain/errors/ErrorKind.ts';
import type RandomSource from '../../ports/RandomSource.ts';

interface ReturnTimes {
  readonly soonestMs: number;
  readonly spreadMs: number;
}

// Room comes back with the answers of the requests that fill the slots, which take 0.2 s to 1 s.
const whenFull: ReturnTimes = { soonestMs: 400, spreadMs: 800 };
// After all processes were killed hosts knew the preset 1.0 s to 1.3 s after their start, and a
// caller that is refused twice has less time left than one that waits.
const whenStarting: ReturnTimes = { soonestMs: 1200, spreadMs: 600 };

/** When a caller should return that was refused, spread so that not all come at once. */
export default function drawRetryTime(kind: ErrorKind, now: number, random: RandomSource): number {
  const { soonestMs, spreadMs } = kind === 'host_not_ready' ? whenStarting : whenFull;
  return now + soonestMs + spreadMs * random.next();
}
