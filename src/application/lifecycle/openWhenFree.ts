import FailureError from '../../domain/errors/FailureError.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';

const retryMs = 100;

/** Options of an attempt to use an address. */
export interface OpenWhenFreeOptions<Opened> {
  readonly clock: Clock;
  readonly log: Log;
  /** The address is refused when it is in use at this time. */
  readonly deadline: number;
  /** Aborts when the host is asked to stop; the address is refused then, if it is in use. */
  readonly signal?: AbortSignal;
  /** Rejects with `address_in_use` while the address can't be used. */
  readonly open: () => Promise<Opened>;
}

/**
 * Opens a listener. While its address is in use, for example by a predecessor that is stopping,
 * tries again until the deadline, then rejects with the last failure.
 */
export default async function openWhenFree<Opened>(
  options: OpenWhenFreeOptions<Opened>,
): Promise<Opened> {
  const { clock, log, deadline, signal, open } = options;
  for (let isFirst = true; ; isFirst = false) {
    try {
      return await open();
    } catch (error) {
      const isInUse = error instanceof FailureError && error.failure.kind === 'address_in_use';
      if (!isInUse || clock.now() >= deadline || signal?.aborted) throw error;
      if (isFirst)
        log.warn('lifecycle: waiting for an address', { error: error.message, deadline });
    }
    await clock.sleepUntil(Math.min(deadline, clock.now() + retryMs), signal);
  }
}
