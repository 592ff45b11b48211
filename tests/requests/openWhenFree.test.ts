import { describe, expect, it } from 'vitest';

import openWhenFree from '../../src/application/lifecycle/openWhenFree.ts';
import FailureError from '../../src/domain/errors/FailureError.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import SilentLog from '../fixtures/SilentLog.ts';

/** Opens an address that becomes free after a time; resolves with the outcome and the attempts. */
async function openAfter(freeMs: number, kind: 'address_in_use' | 'internal' = 'address_in_use') {
  const clock = new FakeClock();
  const log = new SilentLog();
  const start = clock.now();
  let attempts = 0;
  const opening = openWhenFree({
    ...{ clock, log, deadline: start + 1000 },
    open: async () => {
      attempts += 1;
      if (clock.now() < start + freeMs)
        throw new FailureError({ kind, message: 'key listen.peers' });
      return 'opened';
    },
  }).catch((error: Error) => error.message);
  await clock.advanceBy(20_000);
  return { outcome: await opening, attempts, messages: log.messages };
}

describe('address to listen on', () => {
  // Guards against a process that ends because its predecessor is still stopping.
  it('should be opened when it becomes free before the deadline', async () => {
    expect(await openAfter(1000)).toMatchObject({
      outcome: 'opened',
      messages: ['lifecycle: waiting for an address'],
    });
  });

  it('should be refused with the reason when it is in use at the deadline', async () => {
    expect(await openAfter(1001)).toMatchObject({ outcome: 'key listen.peers' });
  });

  it('should be refused at once for another reason', async () => {
    const refused = await openAfter(500, 'internal');

    expect(refused).toMatchObject({ outcome: 'key listen.peers', attempts: 1, messages: [] });
  });

  // Guards against a process that is killed because it goes on waiting after the signal to stop.
  it('should be refused when the process is asked to stop', async () => {
    const clock = new FakeClock();
    const stopping = new AbortController();
    const refused = openWhenFree({
      ...{ clock, log: new SilentLog(), deadline: Infinity, signal: stopping.signal },
      open: () => Promise.reject(new FailureError({ kind: 'address_in_use', message: 'in use' })),
    }).catch((error: Error) => error.message);
    await clock.advanceBy(1000);
    stopping.abort();

    expect(await refused).toBe('in use');
  });
});
