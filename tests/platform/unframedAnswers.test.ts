import { afterEach, describe, expect, it } from 'vitest';

import PlatformDialect from '../../platform/PlatformDialect.ts';
import UndiciUpstreamClient from '../../src/adapters/http/UndiciUpstreamClient.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';
import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';

const head = 'HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\nx-response-signature: signed\r\n\r\n';
// Lets the client read the first bytes before the connection is closed or reset.
const pauseMs = 50;

describe('answers without a length', () => {
  let upstream: RawUpstream;
  let client: UndiciUpstreamClient | undefined;

  afterEach(async () => {
    upstream.close();
    await client?.close();
    client = undefined;
  });

  // Guards against an HTTP library that treats a reset as the end of an answer without a length:
  // the caller would get the partial body of a crashed upstream as a complete one.
  it.each([
    ['complete when its connection is closed normally', 'end', 'answered'],
    ['truncated when its connection is reset', 'resetAndDestroy', 'failed truncated'],
  ] as const)('should count as %s', async (_title, end, expected) => {
    const clock = new SystemClock();
    upstream = new RawUpstream(({ socket }) => {
      socket.write(`${head}part`);
      setTimeout(() => socket[end](), pauseMs);
    });
    const address = await upstream.open();
    const dialect = new PlatformDialect();
    client = new UndiciUpstreamClient({ clock, connectionsPerUpstream: 1, dialect });

    const result = await client.sendRequest({
      address,
      method: 'GET',
      path: '/',
      headers: [],
      body: new Uint8Array(),
      mayRepeat: true,
      requestId: 'r1',
      upstream: 'i-1',
      deadline: clock.now() + 5000,
      maxAnswerBytes: 1000,
      echoRequestId: true,
      signal: new AbortController().signal,
      mayDispatch: () => true,
    });

    expect(result.kind === 'failed' ? `failed ${result.reason}` : result.kind).toBe(expected);
  });

  // Guards against a content-length or chunked coding that marks the body as complete: a crashing
  // upstream may also close its connection normally, so a partial body can't be distinguished from
  // a complete one.
  it('should be forwarded without a length or chunked coding and close the connection', async () => {
    upstream = new RawUpstream(({ socket }) => socket.end(`${head}part`));
    const address = await upstream.open();
    const path = await createEntryPath({
      upstreams: [createUsable('a', address)],
      dialect: new PlatformDialect(),
    });
    const caller = await RawCaller.connectTo(path.origin);

    caller.write('GET /history/1 HTTP/1.1\r\nhost: a\r\nx-attempt-id: r1\r\n\r\n');
    const answer = await caller.waitClosed();
    await path.close();

    expect(answer).toMatch(/^HTTP\/1.1 200 OK\r\n/);
    expect(answer).not.toMatch(/content-length|transfer-encoding/i);
    expect(answer).toMatch(/connection: close\r\n[^]*\r\npart$/i);
  });
});
