import { describe, expect, it } from 'vitest';

import type UpstreamGate from '../../src/application/requests/UpstreamGate.ts';
import createHandlerPath from '../fixtures/createHandlerPath.ts';
import type { AttemptScript } from '../fixtures/createHandlerPath.ts';

const reset: AttemptScript = { end: 'reset', waitMs: 0, callerDisconnects: 'no' };

/** Lets requests through to all upstreams except the limited ones. */
function createGate(limited: readonly string[], freeAt = 1_900_000_000_000): UpstreamGate {
  return {
    decideAccess: ({ upstream }) => (limited.includes(upstream) ? 'limited' : 'open'),
    maySend: () => true,
    getFreeAt: ({ upstream }) => (limited.includes(upstream) ? freeAt : -Infinity),
    reportStatements: () => undefined,
  };
}

describe('requests under the limits of upstreams', () => {
  it('should go to an upstream that may receive more requests', async () => {
    const path = createHandlerPath({
      attempts: [],
      repeat: 'never',
      upstreams: 3,
      gate: createGate(['u0', 'u1']),
    });

    const { answer, triedUpstreams } = await path.runRequest();

    expect([answer.status, triedUpstreams]).toEqual([200, ['u2']]);
  });

  // Guards against a retry that breaks the limit of an upstream.
  it('should not be retried at an upstream that may receive none', async () => {
    const path = createHandlerPath({
      attempts: [reset, reset],
      repeat: 'allowed',
      upstreams: 3,
      gate: createGate(['u1', 'u2']),
    });

    const { triedUpstreams } = await path.runRequest();

    expect(triedUpstreams).toEqual(['u0']);
  });

  // Guards against requests that wait although no upstream may receive them in time.
  it('should be refused at once as not run when no upstream may receive any', async () => {
    const freeAt = 1_800_000_000_700;
    const path = createHandlerPath({
      attempts: [],
      repeat: 'never',
      upstreams: 2,
      gate: createGate(['u0', 'u1'], freeAt),
    });

    const { answer, possibleRuns } = await path.runRequest(0);

    expect([answer.status, answer.outcome, answer.errorKind]).toEqual([
      503,
      'not-run',
      'upstreams_limited',
    ]);
    expect([answer.retryAt, possibleRuns]).toEqual([freeAt, 0]);
  });

  // Guards against losing an operation that could be served soon.
  it.each([
    ['not be sent', 'never', 'soon', 1_800_000_000_700, 'upstreams_limited', []],
    ['be sent', 'never', 'too late', 1_800_000_002_000, undefined, ['u0']],
    ['be sent', 'allowed', 'soon', 1_800_000_000_700, undefined, ['u0']],
  ] as const)(
    'should %s to a bad upstream when repeating is %s and a sound one may receive it %s',
    async (_action, repeat, _title, freeAt, errorKind, expectedUpstreams) => {
      const path = createHandlerPath({
        attempts: [],
        repeat,
        upstreams: 2,
        risks: { u0: 0.9 },
        gate: createGate(['u1'], freeAt),
      });

      const { answer, triedUpstreams } = await path.runRequest(0);

      expect([answer.errorKind, triedUpstreams]).toEqual([errorKind, expectedUpstreams]);
    },
  );
});
