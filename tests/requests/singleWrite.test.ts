import { afterEach, describe, expect, it } from 'vitest';

import UndiciUpstreamClient from '../../src/adapters/http/UndiciUpstreamClient.ts';
import UpstreamExchange from '../../src/adapters/http/UpstreamExchange.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';
import type Clock from '../../src/ports/Clock.ts';
import type { UpstreamRequest } from '../../src/ports/UpstreamClient.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';
import type { RawRequest } from '../fixtures/RawUpstream.ts';

const answer = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

function createRequest(changes: Partial<UpstreamRequest>): UpstreamRequest {
  return {
    address: '127.0.0.1:1',
    method: 'POST',
    path: '/bookings',
    headers: [],
    body: Buffer.from('operation'),
    mayRepeat: true,
    requestId: 'one',
    deadline: Number.MAX_SAFE_INTEGER,
    maxAnswerBytes: 1000,
    echoRequestId: false,
    signal: new AbortController().signal,
    mayDispatch: () => true,
    ...changes,
  };
}

describe('single write of a request', () => {
  const upstreams: RawUpstream[] = [];
  const clients: UndiciUpstreamClient[] = [];

  async function startUpstream(
    answerRequest: (request: RawRequest) => void,
    options: { readonly clock?: Clock; readonly connections?: number } = {},
  ) {
    const upstream = new RawUpstream(answerRequest);
    upstreams.push(upstream);
    const address = await upstream.open();
    const client = new UndiciUpstreamClient({
      clock: options.clock ?? new SystemClock(),
      connectionsPerUpstream: options.connections ?? 1,
    });
    clients.push(client);
    const send = (requestId: string, changes: Partial<UpstreamRequest> = {}) =>
      client.sendRequest(createRequest({ address, requestId, ...changes }));
    return { upstream, send };
  }

  /** Starts an upstream that answers its first request only when the test calls `release`. */
  async function startBlockingUpstream(clock: Clock) {
    const first: { request?: RawRequest; arrived?: () => void } = {};
    const arrived = new Promise<void>((resolve) => {
      first.arrived = resolve;
    });
    const started = await startUpstream(
      (request) => {
        if (request.index > 0) {
          request.socket.write(answer);
          return;
        }
        first.request = request;
        first.arrived?.();
      },
      { clock },
    );
    return { ...started, arrived, release: () => first.request?.socket.write(answer) };
  }

  afterEach(async () => {
    upstreams.splice(0).forEach((upstream) => upstream.close());
    await Promise.all(clients.splice(0).map((client) => client.close()));
  });

  // Guards against a resend when an idle connection closes while the next request is written.
  it.each([
    ['reused', 'end'],
    ['reused', 'resetAndDestroy'],
    ['new', 'end'],
    ['new', 'resetAndDestroy'],
  ] as const)(
    'should write each request at most once on %s connections that the upstream closes with %s()',
    async (connectionKind, method) => {
      const { upstream, send } = await startUpstream(({ socket, index }) => {
        socket.write(answer);
        const close = (): void => {
          socket[method]();
        };
        if (index % 3 === 0) setImmediate(close);
        else if (index % 3 === 1) setTimeout(close, 1);
        else close();
      });

      const ids = Array.from({ length: 300 }, (_, index) => `request-${index}`);
      const results = new Map<string, string>();
      for (const id of ids) {
        const result = await send(id, { mayRepeat: connectionKind === 'reused' });
        results.set(id, result.kind);
        if (results.size % 2 === 0) await FakeClock.settle();
      }

      expect(new Set(upstream.requestIds).size).toBe(upstream.requestIds.length);
      const received = new Set(upstream.requestIds);
      const notSent = ids.filter((id) => results.get(id) === 'not_sent');
      expect(notSent.filter((id) => received.has(id))).toEqual([]);
      expect(ids.filter((id) => results.get(id) === 'answered' && !received.has(id))).toEqual([]);
    },
  );

  // Guards against resending a request whose connection was reset after the request had arrived,
  // also when other requests wait in undici's queue.
  it.each([
    ['reused', true],
    ['new', false],
  ])(
    'should send each waiting request once after a reset on %s connections',
    async (_kind, mayRepeat) => {
      const { upstream, send } = await startUpstream(({ socket, index }) => {
        if (index % 2 === 0) socket.resetAndDestroy();
        else socket.write(answer);
      });

      const ids = Array.from({ length: 20 }, (_, index) => `request-${index}`);
      const results = await Promise.all(ids.map((id) => send(id, { mayRepeat })));

      expect(upstream.requestIds).toEqual(ids);
      expect(results.map(({ kind }) => kind)).toEqual(
        ids.map((_, index) => (index % 2 === 0 ? 'failed' : 'answered')),
      );
    },
  );

  // Guards against pipelining: when one answer fails, it is unknown whether the requests behind it
  // ran.
  it('should send one request at a time on a connection', async () => {
    const { upstream, send, arrived, release } = await startBlockingUpstream(new SystemClock());
    // undici would pipeline only requests with safe methods.
    const safe = { method: 'GET', body: new Uint8Array() };
    const first = send('one', safe);
    const second = send('two', safe);
    await arrived;
    await new SystemClock().sleepUntil(new SystemClock().now() + 50);

    expect(upstream.requestIds).toEqual(['one']);

    release();
    await Promise.all([first, second]);
    expect(upstream.requestIds).toEqual(['one', 'two']);
  });

  it('should report not sent when no connection can be opened', async () => {
    const { send, upstream } = await startUpstream(() => undefined);
    upstream.close();

    expect(await send('one')).toEqual({ kind: 'not_sent', reason: 'unreachable' });
  });

  // Guards against sending a request that the caller or the preset no longer allows after it has
  // waited for a connection.
  it('should call mayDispatch after a request has waited for its connection', async () => {
    const { upstream, send, arrived, release } = await startBlockingUpstream(new SystemClock());
    let isAllowed = true;
    const first = send('one');
    const second = send('two', { mayDispatch: () => isAllowed });
    await arrived;
    isAllowed = false;
    release();

    expect((await first).kind).toBe('answered');
    expect(await second).toEqual({ kind: 'not_sent', reason: 'forbidden' });
    expect(upstream.requestIds).toEqual(['one']);
  });

  // Guards against a dispatch by a process that was suspended until after the deadline: its timers
  // have not fired yet when the connection becomes free.
  it('should compare the deadline with the clock directly before the write', async () => {
    const clock = new FakeClock();
    const { upstream, send, arrived, release } = await startBlockingUpstream(clock);
    const first = send('one');
    const second = send('two', { deadline: clock.now() + 1000 });
    await arrived;
    clock.jumpTo(clock.now() + 1000);
    release();

    expect((await first).kind).toBe('answered');
    expect(await second).toEqual({ kind: 'not_sent', reason: 'deadline_passed' });
    expect(upstream.requestIds).toEqual(['one']);
  });

  // Guards against reporting the outcome unknown for a request that never left the queue.
  it('should report not sent for a request that is cancelled or times out in the queue', async () => {
    const { upstream, send, arrived, release } = await startBlockingUpstream(new SystemClock());
    const controller = new AbortController();
    const first = send('one');
    const cancelled = send('two', { signal: controller.signal });
    const late = send('three', { deadline: new SystemClock().now() + 30 });
    await arrived;
    controller.abort();

    expect(await cancelled).toEqual({ kind: 'not_sent', reason: 'cancelled' });
    expect(await late).toEqual({ kind: 'not_sent', reason: 'deadline_passed' });
    release();
    await first;
    expect((await send('four')).kind).toBe('answered');
    expect(upstream.requestIds).toEqual(['one', 'four']);
  });

  // Guards against blaming an upstream for a request that can't be written.
  it('should report not sent as malformed when undici refuses the request', async () => {
    const { send, upstream } = await startUpstream(() => undefined);

    const result = await send('one', {
      headers: [
        ['host', 'a'],
        ['host', 'b'],
      ],
    });

    expect(result).toEqual({ kind: 'not_sent', reason: 'malformed' });
    expect(upstream.connections).toBe(0);
  });

  // Guards against undici putting a request back into its queue after its connection is lost.
  it('should refuse a second write of the same request', async () => {
    const exchange = new UpstreamExchange({
      request: createRequest({}),
      clock: new FakeClock(),
    });
    const aborts: string[] = [];
    const controller = {
      abort: (error: Error) => aborts.push(error.message),
    } as unknown as Parameters<UpstreamExchange['onRequestStart']>[0];

    exchange.onRequestStart(controller);
    exchange.onRequestStart(controller);

    expect(aborts).toHaveLength(1);
    expect(await exchange.result).toEqual({ kind: 'failed', reason: 'reset' });
  });
});
