import { describe, expect, it } from 'vitest';

import createHandlerPath from '../fixtures/createHandlerPath.ts';
import type { AttemptScript } from '../fixtures/createHandlerPath.ts';

const silent: AttemptScript = { end: 'silent', waitMs: 0, callerDisconnects: 'no' };
const notRun: AttemptScript = { end: 'not_run', waitMs: 0, callerDisconnects: 'no' };

describe('maximum number of attempts of a request', () => {
  const runScript = (maxAttempts: number, attempts: readonly AttemptScript[]) =>
    createHandlerPath({ repeat: 'allowed', upstreams: 4, attempts, maxAttempts }).runRequest();

  // Guards against ending the attempt after half of the time although no other attempt may use the
  // rest.
  it('should let the only allowed attempt run until the deadline', async () => {
    const { timeouts, attempts } = await runScript(1, [silent]);

    expect([attempts, timeouts]).toEqual([1, [1000]]);
  });

  it('should let both allowed attempts run until the deadline and start no third', async () => {
    const { timeouts, attempts } = await runScript(2, [silent, silent]);

    expect([attempts, timeouts]).toEqual([2, [1000, 1000]]);
  });

  it('should not count attempts that did not run the request', async () => {
    const { answer, attempts } = await runScript(1, [notRun, notRun]);

    expect([answer.status, attempts]).toEqual([200, 3]);
  });
});
