import type { Socket } from 'node:net';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import PlatformDialect from '../../platform/PlatformDialect.ts';
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
