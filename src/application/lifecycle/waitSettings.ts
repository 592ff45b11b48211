import type Failure from '../../domain/errors/Failure.ts';
import type Result from '../../domain/errors/Result.ts';
import type Clock from '../../ports/Clock.ts';

// Long enough to write a small file on a busy host, and short enough for an operator who waits.
const maxWaitMs = 1500;
const retryMs = 50;
// A file that was cut can be valid, so one that has just changed is read again.
const unchangedMs = 100;

/** A settings file as it was read once. */
export interface SettingsAttempt<Settings> {
  readonly result: Result<Settings>;
  /** When the file was last changed; undefined when that is not known. */
  readonly changedAt: number | undefined;
}

/** Settings, and the failure of the first attempt to read them, if any. */
export interface WaitedSettings<Settings> {
  readonly result: Result<Settings>;
  readonly firstFailure: Failure | undefined;
}

/**
 * Reads the settings of a process that starts. A file that is invalid, or has just changed, may be
 * in the midst of being written, and is read again for a while.
 */
export default async function waitSettings<Settings>(options: {
  readonly clock: Clock;
  readonly read: () => Promise<SettingsAttempt<Settings>>;
}): Promise<WaitedSettings<Settings>> {
  const { clock, read } = options;
  const deadline = clock.now() + maxWaitMs;
  const isSettled = ({ result, changedAt }: SettingsAttempt<Settings>): boolean => {
    const ageMs = changedAt === undefined ? Infinity : clock.now() - changedAt;
    // A time in the future comes from another clock and says nothing.
    return result.ok && (ageMs < 0 || ageMs >= unchangedMs);
  };
  let attempt = await read();
  const { result: first } = attempt;
  while (!isSettled(attempt) && clock.now() < deadline) {
    await clock.sleepUntil(Math.min(deadline, clock.now() + retryMs));
    attempt = await read();
  }
  return { result: attempt.result, firstFailure: first.ok ? undefined : first.failure };
}
