import type { Socket } from 'node:net';

import { afterAll, afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import PlatformDialect from '../../platform/PlatformDialect.ts';
import UndiciUpstreamClient from '../../src/adapters/http/UndiciUpstreamClient.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';
import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import type { EntryPath } from '../fixtures/createEntryPath.ts';
import createPreset, { createRoute } from '../fixtures/createPreset.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';

const answer =
  'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-attempt-id: r1\r\nx-response-signature: s\r\n\r\nok';

describe('upstream that resets reused connections', () => {
  const usedSockets = new Set<Socket>();
  let upstream: RawUpstream;
  let path: EntryPath;

  beforeEach(async () => {
    usedSockets.clear();
    // The upstream resets a connection when it receives a second request on it.
    upstream = new RawUpstream(({ socket }) => {
      if (usedSockets.has(socket)) socket.resetAndDestroy();
      else socket.write(answer);
      usedSockets.add(socket);
    });
    path = await createEntryPath({
      upstreams: [createUsable('a', await upstream.open())],
      dialect: new PlatformDialect(),
      preset: createPreset({
        routes: [
          createRoute(),
          createRoute({ method: 'POST', path: '/bookings', repeat: 'never', key: 'none' }),
        ],
      }),
    });
  });

  afterEach(async () => {
    await path.close();
    upstream.close();
  });

  async function sendRequest(requestLine: string): Promise<string> {
    const caller = await RawCaller.connectTo(path.origin);
    caller.write(
      `${requestLine} HTTP/1.1\r\nhost: a\r\nx-attempt-id: r1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`,
    );
    return (await caller.waitClosed()).slice(0, 'HTTP/1.1 200'.length);
  }

  // Guards against bookings that fail on a reused connection: whether a booking ran before the
  // reset is unknown, so it can't be retried.
  it('should receive each operation that must not repeat on a new connection', async () => {
    const answers = [await sendRequest('POST /bookings'), await sendRequest('POST /bookings')];

    expect(answers).toEqual(['HTTP/1.1 200', 'HTTP/1.1 200']);
    expect(upstream.connections).toBe(2);
  });

  it('should receive two look-ups on the same connection', async () => {
    await sendRequest('GET /history/1');
    await sendRequest('GET /history/1');

    expect(usedSockets.size).toBe(1);
  });
});

describe('UndiciUpstreamClient', () => {
  const clock = new SystemClock();
  const client = new UndiciUpstreamClient({ clock, connectionsPerUpstream: 4 });
  const sockets: Socket[] = [];
  const upstream = new RawUpstream(({ head, socket }) => {
    sockets.push(socket);
    if (!head.includes('/open')) socket.write(answer);
  });
  let address = '';

  async function sendTo(path: string, mayRepeat = true, signal = new AbortController().signal) {
    return client.sendRequest({
      ...{ address, method: 'GET', path, headers: [], body: new Uint8Array(), mayRepeat, signal },
      ...{ requestId: 'r1', deadline: clock.now() + 5000, maxAnswerBytes: 100 },
      ...{ echoRequestId: false, mayDispatch: () => true },
    });
  }

  afterAll(() => client.close());

  // Guards against a preference for connections that are in use, closed or not for this request.
  it('should know which connections are idle', async () => {
    address = await upstream.open();
    const isIdle = (): boolean => client.hasIdleConnection(address);
    const seen = [isIdle()];
    await sendTo('/single', false);
    seen.push(isIdle());
    await sendTo('/first');
    await vi.waitFor(() => expect(isIdle()).toBe(true));
    seen.push(isIdle());
    const caller = new AbortController();
    const open = sendTo('/open', true, caller.signal);
    seen.push(isIdle());
    await vi.waitFor(() => expect(sockets).toHaveLength(3));
    seen.push(isIdle());
    caller.abort();
    await open;
    seen.push(isIdle());
    await sendTo('/second');
    await vi.waitFor(() => expect(isIdle()).toBe(true));
    seen.push(isIdle());
    upstream.close();
    await vi.waitFor(() => expect(isIdle()).toBe(false));

    expect(seen).toEqual([false, false, true, false, false, false, true]);
    expect(client.openedCount).toBe(upstream.connections);
    expect([client.reusedCount, client.idleCount]).toEqual([1, 0]);
  });
});
