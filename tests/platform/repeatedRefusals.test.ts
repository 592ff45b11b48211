import type { Socket } from 'node:net';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import PlatformDialect from '../../platform/PlatformDialect.ts';
import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import type { EntryPath } from '../fixtures/createEntryPath.ts';
import createPreset, { createRoute, createService } from '../fixtures/createPreset.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';

function findAttemptId(head: string): string {
  return /x-attempt-id: (\S+)/i.exec(head)?.[1] ?? '';
}

function createRefusal(attemptId: string | undefined): string {
  const echo = attemptId === undefined ? '' : `x-attempt-id: ${attemptId}\r\n`;
  return `HTTP/1.1 503 Full\r\n${echo}x-not-executed: 1\r\ncontent-length: 0\r\n\r\n`;
}

describe('upstream that writes a refusal again on a kept connection', () => {
  let upstream: RawUpstream;
  let path: EntryPath;
  let sockets: Socket[];
  let refusedId: string | undefined;

  beforeEach(async () => {
    sockets = [];
    // The upstream refuses the first request, runs all others and writes the refusal again.
    upstream = new RawUpstream(({ head, socket, index }) => {
      const attemptId = findAttemptId(head);
      sockets.push(socket);
      socket.write(createRefusal(index === 0 ? attemptId : refusedId));
    });
    path = await createEntryPath({
      upstreams: [createUsable('a', await upstream.open())],
      dialect: new PlatformDialect(),
      preset: createPreset({
        services: { history: createService({ echoRequestId: true }) },
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

  async function sendRequest(requestLine: string, attemptId: string): Promise<number> {
    const caller = await RawCaller.connectTo(path.origin);
    caller.write(
      `${requestLine} HTTP/1.1\r\nhost: a\r\nx-attempt-id: ${attemptId}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`,
    );
    return Number((await caller.waitClosed()).split(' ', 2)[1]);
  }

  // Reported by other operators: callers were told "not run, try again" for requests that an
  // upstream had run.
  it.each([
    ['with the id of the refused request', 'r1'],
    ['without an id', undefined],
  ])('should not be believed %s', async (_title, repeatedId) => {
    refusedId = repeatedId;
    const first = await sendRequest('GET /history/1', 'r1');
    const second = await sendRequest('GET /history/1', 'r2');
    const booking = await sendRequest('POST /bookings', 'r3');

    expect([first, second, booking]).toEqual([503, 502, 502]);
    // Look-ups share a connection, and a booking never gets one that was used before.
    expect(sockets).toHaveLength(3);
    expect(sockets[1]).toBe(sockets[0]);
    expect(sockets.slice(0, 2)).not.toContain(sockets[2]);
  });
});
