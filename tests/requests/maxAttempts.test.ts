import { describe, expect, it } from 'vitest';

import createHandlerPath from '../fixtures/createHandlerPath.ts';
import type { AttemptScript } from '../fixtures/createHandlerPath.ts';

const silent: AttemptScript = { end: 'silent', waitMs: 0, callerLeaves: 'no' };
const refused: AttemptScript = { end: 'not_run', waitMs: 0, callerLeaves: 'no' };

describe('bound on the upstreams that run a request', () => {
  const run = (maxAttempts: number, attempts: readonly AttemptScript[]) =>
    createHandlerPath({ repeat: 'allowed', upstreams: 4, attempts, maxAttempts }).runRequest();

  // Guards against giving up at half of the time with no attempt left to use the rest.
  it('should give the only attempt the whole time', async () => {
    const { deadlines, attempts } = await run(1, [silent]);

    expect([attempts, deadlines]).toEqual([1, [1000]]);
  });

  it('should give the last attempt all the time that is left', async () => {
    const { deadlines, attempts } = await run(2, [silent, silent]);

    expect([attempts, deadlines]).toEqual([2, [500, 1000]]);
  });

  it('should not count an upstream that did not run the request', async () => {
    const { answer, attempts } = await run(1, [refused, refused]);

    expect([answer.status, attempts]).toEqual([200, 3]);
  });
});
