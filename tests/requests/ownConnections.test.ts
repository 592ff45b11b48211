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

describe('upstream that forgets kept connections', () => {
  const used = new Set<Socket>();
  let upstream: RawUpstream;
  let path: EntryPath;

  beforeEach(async () => {
    used.clear();
    // Whatever comes on a connection that has rested is reset.
    upstream = new RawUpstream(({ socket }) => {
      if (used.has(socket)) socket.resetAndDestroy();
      else socket.write(answer);
      used.add(socket);
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

  async function ask(line: string): Promise<string> {
    const caller = await RawCaller.connectTo(path.origin);
    caller.write(
      `${line} HTTP/1.1\r\nhost: a\r\nx-attempt-id: r1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`,
    );
    return (await caller.waitClosed()).slice(0, 'HTTP/1.1 200'.length);
  }

  // Guards against bookings that are lost, since nobody can tell whether one that was reset ran.
  it('should get operations that must not repeat on connections of their own', async () => {
    const answers = [await ask('POST /bookings'), await ask('POST /bookings')];

    expect(answers).toEqual(['HTTP/1.1 200', 'HTTP/1.1 200']);
    expect(upstream.connections).toBe(2);
  });

  it('should get look-ups on kept connections', async () => {
    await ask('GET /history/1');
    await ask('GET /history/1');

    expect(used.size).toBe(1);
  });
});
