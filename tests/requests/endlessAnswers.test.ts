import type { Socket } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import PlatformDialect from '../../platform/PlatformDialect.ts';
import UndiciUpstreamClient from '../../src/adapters/http/UndiciUpstreamClient.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';

const clock = new SystemClock();
const ok = 'HTTP/1.1 200 OK\r\n';
const signed = 'x-attempt-id: r1\r\nx-response-signature: s\r\n';
const filler = 'x'.repeat(1000);
// An upstream that still writes after this time was not cut off by the deadline of the request.
const maxWriteMs = 2000;

/** Answers that never end: their start, and what follows again and again. */
const endlessAnswers: readonly (readonly [string, string, string])[] = [
  ['informational answers', '', 'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n'],
  ['header lines', ok, `x-filler: ${filler}\r\n`],
  ['a header value', `${ok}x-filler: `, filler],
  ['a status line', 'HTTP/1.1 200 ', filler],
  ['a body without length', `${ok}${signed}\r\n`, filler],
  ['chunks', `${ok}${signed}transfer-encoding: chunked\r\n\r\n`, `3e8\r\n${filler}\r\n`],
  ['a chunk extension', `${ok}${signed}transfer-encoding: chunked\r\n\r\n5;a=`, filler],
  ['trailers', `${ok}${signed}transfer-encoding: chunked\r\n\r\n0\r\n`, `x-filler: ${filler}\r\n`],
  ['empty lines', '', '\r\n'],
  ['bytes that are no answer', '', filler],
];

describe('answers without end', () => {
  const upstreams: RawUpstream[] = [];
  const clients: UndiciUpstreamClient[] = [];

  afterEach(async () => {
    upstreams.splice(0).forEach((upstream) => upstream.close());
    await Promise.all(clients.splice(0).map((client) => client.close()));
  });

  /** Sends a request to an upstream that writes without end, and waits until its socket closes. */
  async function runExchange(
    [start, repeated]: readonly [string, string],
    options: { readonly mayRepeat: boolean; readonly callerLeavesMs: number | undefined },
  ) {
    const writesUntil = clock.now() + maxWriteMs;
    let hasWrittenToEnd = false;
    let closeSocket: (socket: Socket) => void = () => undefined;
    const closed = new Promise<Socket>((resolve) => {
      closeSocket = resolve;
    });
    const upstream = new RawUpstream(({ socket }) => {
      socket.once('close', () => closeSocket(socket));
      const write = (text: string): void => {
        hasWrittenToEnd = clock.now() >= writesUntil;
        if (hasWrittenToEnd) socket.destroy();
        if (socket.destroyed) return;
        socket.write(text, 'latin1', () => setImmediate(() => write(repeated)));
      };
      write(start + repeated);
    });
    upstreams.push(upstream);
    const address = await upstream.open();
    const dialect = new PlatformDialect();
    const client = new UndiciUpstreamClient({ clock, connectionsPerUpstream: 4, dialect });
    clients.push(client);
    const caller = new AbortController();
    if (options.callerLeavesMs !== undefined) {
      setTimeout(() => caller.abort(), options.callerLeavesMs);
    }
    const result = await client.sendRequest({
      address,
      method: 'GET',
      path: '/history/1',
      headers: [['x-attempt-id', 'r1']],
      body: new Uint8Array(),
      mayRepeat: options.mayRepeat,
      requestId: 'r1',
      deadline: clock.now() + 400,
      maxAnswerBytes: 100_000,
      echoRequestId: true,
      signal: caller.signal,
      mayDispatch: () => true,
    });
    await closed;
    return { result, hasWrittenToEnd };
  }

  // New on the users' pages: bytes that are no answer may come without end until the caller closes.
  // Guards against connections that such an upstream keeps for good.
  it.each(
    endlessAnswers.flatMap(([title, start, repeated]) =>
      [true, false].map((mayRepeat) => ({ title, start, repeated, mayRepeat })),
    ),
  )(
    'should end an answer with endless $title by its deadline and close the connection (mayRepeat: $mayRepeat)',
    async ({ start, repeated, mayRepeat }) => {
      const { result, hasWrittenToEnd } = await runExchange([start, repeated], {
        mayRepeat,
        callerLeavesMs: undefined,
      });

      expect(result.kind).toBe('failed');
      expect(hasWrittenToEnd).toBe(false);
    },
  );

  it.each(endlessAnswers)(
    'should close the connection of an answer with endless %s when the caller leaves',
    async (_title, start, repeated) => {
      const { result } = await runExchange([start, repeated], {
        mayRepeat: true,
        callerLeavesMs: 50,
      });

      expect(result.kind).toBe('failed');
    },
  );
});
