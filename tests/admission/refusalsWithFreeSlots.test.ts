import { expect, it } from 'vitest';

import createHandlerPath from '../fixtures/createHandlerPath.ts';
import type { AttemptScript } from '../fixtures/createHandlerPath.ts';

/** Attempts of two requests when three upstreams of 4 slots shed all that they get. */
async function countAttempts(loads: readonly (number | undefined)[]): Promise<number[]> {
  const attempts = Array.from({ length: 12 }, (_, index): AttemptScript => {
    const load = loads[index % loads.length];
    const shed = { end: 'shed', waitMs: 0, callerDisconnects: 'no' } as const;
    return load === undefined ? shed : { ...shed, load };
  });
  const path = createHandlerPath({ attempts, repeat: 'allowed', upstreams: 3 });
  const first = await path.runRequest(10);
  const second = await path.runRequest(10);
  return [first.attempts, second.attempts];
}

// The load: every upstream of a service refuses half of its requests at 40% use of its slots.
// Guards against giving up each request at its first refusal although others would be served.
it('should retry while all upstreams refuse requests with free slots', async () => {
  expect(await countAttempts([2])).toEqual([3, 3]);
});

it('should retry while some upstreams are full and one refuses with free slots', async () => {
  expect(await countAttempts([28, 28, 3])).toEqual([3, 3]);
});

// Guards against retries that add load to a service whose slots are all in use.
it.each([[[4]], [[28]], [[undefined]]])(
  'should not retry while all upstreams are full or state no load: %j',
  async (loads) => {
    expect(await countAttempts(loads)).toEqual([3, 1]);
  },
);
