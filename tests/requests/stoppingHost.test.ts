import { setTimeout as sleep } from 'node:timers/promises';

import { describe, expect, it } from 'vitest';

import SystemClock from '../../src/adapters/system/SystemClock.ts';
import UndiciUpstreamClient from '../../src/adapters/http/UndiciUpstreamClient.ts';
import createHandlerPath from '../fixtures/createHandlerPath.ts';
import type { AttemptScript } from '../fixtures/createHandlerPath.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';

const unreachable: AttemptScript = { end: 'unreachable', waitMs: 0, callerDisconnects: 'no' };

// Reported by other operators: requests that came late in the grace of a planned stop were
// forwarded, and cut without an answer when the process was killed.
describe('requests to a host that is about to be killed', () => {
  it.each(['allowed', 'never'] as const)(
    'should be refused at once as not run when repeating is %s',
    async (repeat) => {
      const path = createHandlerPath({
        attempts: [],
        repeat,
        upstreams: 2,
        stopLimiter: { isStopping: true, mayStart: () => false },
      });

      const { answer, possibleRuns } = await path.runRequest(0);

      expect([answer.status, answer.outcome, answer.errorKind]).toEqual([
        503,
        'not-run',
        'host_stopping',
      ]);
      // Another host can serve the request at once.
      expect(answer.retryAt).toBeLessThan(1_800_000_000_200);
      expect(possibleRuns).toBe(0);
    },
  );

  it('should not be tried again', async () => {
    let attemptsLeft = 1;
    const path = createHandlerPath({
      attempts: [unreachable],
      repeat: 'allowed',
      upstreams: 2,
      stopLimiter: {
        isStopping: true,
        mayStart: () => {
          attemptsLeft -= 1;
          return attemptsLeft >= 0;
        },
      },
    });

    const { answer, triedUpstreams } = await path.runRequest(0);

    expect([answer.status, answer.outcome, triedUpstreams]).toEqual([503, 'not-run', ['u0']]);
  });

  // A request can wait for a connection or for the rest of its body.
  it('should not be sent once it is too late', async () => {
    let checks = 0;
    const path = createHandlerPath({
      attempts: [{ end: 'good', waitMs: 50, callerDisconnects: 'no' }],
      repeat: 'never',
      upstreams: 2,
      stopLimiter: {
        isStopping: true,
        mayStart: () => {
          checks += 1;
          return checks === 1;
        },
      },
    });

    const { answer, possibleRuns } = await path.runRequest();

    expect([answer.errorKind, possibleRuns]).toEqual(['host_stopping', 0]);
  });

  // A caller that gets an answer learns more than one whose connection is cut.
  it('should be answered before the host is killed when they hang at an upstream', async () => {
    const clock = new SystemClock();
    const upstream = new RawUpstream(() => undefined);
    const address = await upstream.open();
    const client = new UndiciUpstreamClient({ clock, connectionsPerUpstream: 4 });
    const send = () =>
      client.sendRequest({
        address,
        method: 'POST',
        path: '/',
        headers: [],
        body: new Uint8Array(),
        mayRepeat: false,
        requestId: 'r1',
        upstream: 'i-1',
        deadline: clock.now() + 30_000,
        maxAnswerBytes: 1000,
        echoRequestId: true,
        signal: new AbortController().signal,
        mayDispatch: () => true,
      });
    const before = send();
    await sleep(50);
    client.setLatestDeadline(clock.now() + 150);
    const after = send();

    const results = await Promise.all([before, after]);
    upstream.close();
    await client.close();

    expect(results).toEqual([
      { kind: 'failed', reason: 'timed_out' },
      { kind: 'failed', reason: 'timed_out' },
    ]);
  });
});
