import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import PlatformDialect from '../../platform/PlatformDialect.ts';
import UndiciUpstreamClient from '../../src/adapters/http/UndiciUpstreamClient.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';
import type { UpstreamResult } from '../../src/ports/UpstreamClient.ts';
import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import createPreset, { createRoute } from '../fixtures/createPreset.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';

const start =
  'HTTP/1.1 200 OK\r\nx-attempt-id: r1\r\nx-response-signature: signed\r\nx-server-load: 1,0,4\r\n';
const withLength = `${start}content-length: 8\r\n\r\n`;
const chunked = `${start}transfer-encoding: chunked\r\ntrailer: x-end\r\n\r\n`;
const answers = {
  'a length': { head: withLength, text: `${withLength}complete` },
  chunks: { head: chunked, text: `${chunked}4\r\ncomp\r\n4\r\nlete\r\n0\r\nx-end: 1\r\n\r\n` },
  'no length': { head: `${start}\r\n`, text: `${start}\r\ncomplete` },
};
type Framing = keyof typeof answers;

function cutAt({ text }: { readonly text: string }, length: number): string {
  return text.slice(0, length);
}

// Reported by other operators: an upstream stopped in the middle of the head of its answer and
// closed, and callers got a success with an empty or short body.
describe('answers that break off', () => {
  let upstream: RawUpstream;
  let client: UndiciUpstreamClient;
  const clock = new SystemClock();
  let ending: 'end' | 'resetAndDestroy' | 'silence';
  let bytes = '';
  let address = '';

  beforeEach(async () => {
    client = new UndiciUpstreamClient({
      clock,
      connectionsPerUpstream: 4,
      dialect: new PlatformDialect(),
    });
    upstream = new RawUpstream(({ socket }) => {
      socket.write(bytes);
      // Lets the client read the first bytes before the connection is closed or reset.
      if (ending !== 'silence') setTimeout(() => socket[ending as 'end'](), 5);
    });
    address = await upstream.open();
  });

  afterEach(async () => {
    upstream.close();
    await client.close();
  });

  async function sendRequest(deadlineMs: number): Promise<UpstreamResult> {
    return client.sendRequest({
      address,
      method: 'GET',
      path: '/',
      headers: [],
      body: new Uint8Array(),
      mayRepeat: false,
      requestId: 'r1',
      upstream: 'i-1',
      deadline: clock.now() + deadlineMs,
      maxAnswerBytes: 1000,
      echoRequestId: true,
      signal: new AbortController().signal,
      mayDispatch: () => true,
    });
  }

  /** Cuts an answer after each of the lengths; returns those that passed for complete answers. */
  async function listAccepted(framing: Framing, lengths: readonly number[], deadlineMs: number) {
    const accepted: number[] = [];
    for (const length of lengths) {
      bytes = cutAt(answers[framing], length);
      const result = await sendRequest(deadlineMs);
      if (result.kind === 'answered') accepted.push(length);
      else if (result.kind === 'not_sent') throw new Error(`not sent: ${result.reason}`);
    }
    return accepted;
  }

  it.each([
    ['a length', 'end'],
    ['a length', 'resetAndDestroy'],
    ['chunks', 'end'],
    ['chunks', 'resetAndDestroy'],
  ] as const)('should not pass for complete with %s and %s at any byte', async (framing, end) => {
    ending = end;
    const { length } = answers[framing].text;

    expect(await listAccepted(framing, [...Array(length).keys()], 5000)).toEqual([]);
    expect(await listAccepted(framing, [length], 5000)).toEqual([length]);
  });

  it.each(['end', 'resetAndDestroy'] as const)(
    'should not pass for complete without a length and %s at any byte of the head',
    async (end) => {
      ending = end;
      const { length } = answers['no length'].head;

      expect(await listAccepted('no length', [...Array(length).keys()], 5000)).toEqual([]);
    },
  );

  it.each(['a length', 'chunks', 'no length'] as const)(
    'should not pass for complete with %s and silence',
    async (framing) => {
      ending = 'silence';
      const { head, text } = answers[framing];
      const lengths = [5, 30, start.length, head.length - 1, head.length, text.length - 1];

      expect(await listAccepted(framing, lengths, 60)).toEqual([]);
    },
  );

  // Guards against a front end that frames what it has as a whole answer.
  it.each([
    ['GET', 'HTTP/1.1', 'inside the status line', 'HTTP/1.1 20'],
    ['GET', 'HTTP/1.1', 'inside a header name', `${start}content-le`],
    ['GET', 'HTTP/1.1', 'after a header line', `${start}content-length: 8\r\n`],
    ['GET', 'HTTP/1.1', 'inside the body', `${withLength}comp`],
    ['GET', 'HTTP/1.1', 'inside a chunk size', `${chunked}4`],
    ['GET', 'HTTP/1.1', 'before the last chunk', `${chunked}4\r\ncomp\r\n`],
    ['GET', 'HTTP/1.1', 'inside a trailer', `${chunked}4\r\ncomp\r\n0\r\nx-e`],
    ['GET', 'HTTP/1.0', 'after a header line', `${start}content-length: 8\r\n`],
    ['GET', 'HTTP/1.0', 'inside the body', `${withLength}comp`],
    ['HEAD', 'HTTP/1.1', 'after a header line', `${start}content-length: 8\r\n`],
  ])(
    'should reach a caller of %s %s as a failure when cut %s',
    async (method, version, _cut, text) => {
      ending = 'end';
      bytes = text;
      const path = await createEntryPath({
        upstreams: [createUsable('a', address)],
        dialect: new PlatformDialect(),
        preset: createPreset({ routes: [createRoute(), createRoute({ method: 'HEAD' })] }),
      });
      const caller = await RawCaller.connectTo(path.origin);
      caller.write(
        `${method} /history/1 ${version}\r\nhost: a\r\nx-attempt-id: r1\r\nconnection: close\r\n\r\n`,
      );
      const answer = await caller.waitClosed();
      await path.close();

      expect(answer.split('\r\n')[0]).toMatch(/^HTTP\/1.1 502/);
    },
  );
});
