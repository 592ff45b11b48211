import { afterEach, describe, expect, it } from 'vitest';

import UndiciUpstreamClient from '../../src/adapters/http/UndiciUpstreamClient.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';
import type { UpstreamRequest, UpstreamResult } from '../../src/ports/UpstreamClient.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';
import type { RawRequest } from '../fixtures/RawUpstream.ts';
import stopProcess from '../fixtures/stopProcess.ts';

const clock = new SystemClock();
const ok = 'HTTP/1.1 200 OK\r\n';

function describeResult(result: UpstreamResult): string {
  if (result.kind !== 'answered') return `${result.kind} ${result.reason}`;
  return `${result.answer.status} ${Buffer.from(result.answer.body).toString()}`;
}

describe('answers of upstreams', () => {
  const upstreams: RawUpstream[] = [];
  const clients: UndiciUpstreamClient[] = [];

  async function startUpstream(answer: (request: RawRequest) => void) {
    const upstream = new RawUpstream(answer);
    upstreams.push(upstream);
    const address = await upstream.open();
    const client = new UndiciUpstreamClient({ clock, connectionsPerUpstream: 1 });
    clients.push(client);
    const send = (requestId: string, changes: Partial<UpstreamRequest> = {}) =>
      client.sendRequest({
        address,
        method: 'GET',
        path: '/history/1',
        headers: [],
        body: new Uint8Array(),
        mayRepeat: true,
        requestId,
        deadline: clock.now() + 10_000,
        maxAnswerBytes: 1000,
        echoRequestId: false,
        signal: new AbortController().signal,
        mayDispatch: () => true,
        ...changes,
      });
    return { upstream, send };
  }

  afterEach(async () => {
    upstreams.splice(0).forEach((upstream) => upstream.close());
    await Promise.all(clients.splice(0).map((client) => client.close()));
  });

  // Guards against failing an answer that has arrived and was not read, because the process stood
  // still until the deadline.
  it('should take an answer that arrives before the deadline while the process stands still', async () => {
    const { send } = await startUpstream(({ socket }) => {
      socket.write(`${ok}content-length: 4\r\n\r\ntext`);
      stopProcess(1500);
    });

    const result = await send('one', { deadline: clock.now() + 1000 });

    expect(describeResult(result)).toBe('200 text');
  });

  // Each row guards against passing on an incomplete or invalid answer, or against failing a
  // complete one.
  it.each([
    [
      'ends before its content length',
      'close',
      `${ok}content-length: 9\r\n\r\npart`,
      'failed truncated',
    ],
    [
      'is reset before its content length',
      'reset',
      `${ok}content-length: 9\r\n\r\npart`,
      'failed truncated',
    ],
    [
      'ends before its last chunk',
      'close',
      `${ok}transfer-encoding: chunked\r\n\r\n4\r\npart\r\n`,
      'failed truncated',
    ],
    ['ends by close without a content length', 'close', `${ok}\r\npart`, 'failed truncated'],
    [
      'ends by close with another transfer coding',
      'close',
      `${ok}transfer-encoding: gzip\r\n\r\npart`,
      'failed truncated',
    ],
    ['ends inside its head', 'close', `${ok}content-le`, 'failed reset'],
    [
      'has two content lengths',
      'close',
      `${ok}content-length: 4\r\ncontent-length: 9\r\n\r\npart`,
      'failed reset',
    ],
    ['is not HTTP', 'close', 'hello there\r\n\r\n', 'failed reset'],
    ['is an upgrade', 'keep', 'HTTP/1.1 101 Upgrade\r\nupgrade: x\r\n\r\n', 'failed reset'],
    [
      'is above the limit',
      'keep',
      `${ok}content-length: 1001\r\n\r\n${'x'.repeat(1001)}`,
      'failed too_large',
    ],
    [
      'exceeds the limit in chunks',
      'keep',
      `${ok}transfer-encoding: chunked\r\n\r\n3e9\r\n${'x'.repeat(1001)}\r\n`,
      'failed endless',
    ],
    [
      'is longer than its content length',
      'keep',
      `${ok}content-length: 4\r\n\r\npartmore`,
      '200 part',
    ],
    [
      'has a content length and closes',
      'close',
      `${ok}connection: close\r\ncontent-length: 4\r\n\r\npart`,
      '200 part',
    ],
    [
      'follows early hints',
      'keep',
      `HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n${ok}content-length: 4\r\n\r\npart`,
      '200 part',
    ],
    [
      'has trailers',
      'keep',
      `${ok}transfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nx-sum: 1\r\n\r\n`,
      '200 part',
    ],
    ['has status 204', 'keep', 'HTTP/1.1 204 None\r\n\r\n', '204 '],
    ['has status 304', 'keep', 'HTTP/1.1 304 Same\r\ncontent-length: 9\r\n\r\n', '304 '],
  ] as const)(
    'should accept only complete and valid answers: one that %s (connection: %s)',
    async (_title, end, bytes, expected) => {
      const { send, upstream } = await startUpstream(({ socket, index }) => {
        if (index > 0) {
          socket.write(`${ok}content-length: 6\r\n\r\nsecond`);
          return;
        }
        socket.write(bytes, () => {
          if (end === 'close') socket.end();
          if (end === 'reset') setTimeout(() => socket.resetAndDestroy(), 20);
        });
      });

      expect(describeResult(await send('one'))).toBe(expected);
      // The remaining bytes of the first answer must not become the answer to the next request.
      expect(describeResult(await send('two'))).toBe('200 second');
      expect(upstream.requestIds).toEqual(['one', 'two']);
    },
  );

  it('should accept an answer to HEAD without the body that its content length announces', async () => {
    const { send } = await startUpstream(({ socket }) =>
      socket.write(`${ok}content-length: 9\r\n\r\n`),
    );

    expect(describeResult(await send('one', { method: 'HEAD' }))).toBe('200 ');
  });

  // Guards against merging headers that may be repeated.
  it('should keep repeated headers separate', async () => {
    const { send } = await startUpstream(({ socket }) =>
      socket.write(`${ok}set-cookie: a=1\r\nset-cookie: b=2\r\ncontent-length: 0\r\n\r\n`),
    );

    const result = await send('one');

    const headers = result.kind === 'answered' ? result.answer.headers : [];
    expect(headers.filter(([name]) => name === 'set-cookie').map(([, value]) => value)).toEqual([
      'a=1',
      'b=2',
    ]);
  });

  // Guards against passing on the answer to another caller's request.
  it('should refuse an answer with the id of another request', async () => {
    const { send } = await startUpstream(({ socket, requestId }) => {
      const echoed = requestId === 'one' ? 'other' : requestId;
      socket.write(`${ok}pistachiohoist-request-id: ${echoed}\r\ncontent-length: 2\r\n\r\nok`);
    });

    const echoRequestId = true;
    expect(describeResult(await send('one', { echoRequestId }))).toBe('failed mismatched');
    expect(describeResult(await send('two', { echoRequestId }))).toBe('200 ok');
  });

  // RFC 9110, section 15: status codes outside 100 to 599 are invalid. Guards against passing on an
  // answer with such a code, also after an informational answer (MIXED).
  it.each(
    ['000', '001', '099', '600', '999'].flatMap((status) =>
      ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'].map((earlier) => [status, earlier] as const),
    ),
  )('should refuse an answer with status %s, earlier answer: %j', async (status, earlier) => {
    const { send, upstream } = await startUpstream(({ socket, index }) => {
      const head = index === 0 ? `${earlier}HTTP/1.1 ${status} x\r\n` : ok;
      socket.write(`${head}content-length: 2\r\n\r\nok`);
    });

    const [refused, next] = [await send('one'), await send('two')];

    expect(refused.kind).toBe('failed');
    expect(describeResult(next)).toBe('200 ok');
    expect(upstream.connections).toBe(2);
  });

  it('should pass on unassigned status codes that are valid', async () => {
    const { send } = await startUpstream(({ socket }) =>
      socket.write('HTTP/1.1 599 x\r\ncontent-length: 2\r\n\r\nok'),
    );

    expect(describeResult(await send('one'))).toBe('599 ok');
  });

  // Guards against treating the late answer to one request as the answer to the next request on the
  // same connection.
  it('should close the connection of an answer that comes after the deadline', async () => {
    let sendLateAnswer = (): void => undefined;
    const { send, upstream } = await startUpstream(({ socket, requestId, index }) => {
      const answer = `${ok}content-length: 3\r\n\r\n${requestId}`;
      if (index > 0) socket.write(answer);
      else sendLateAnswer = () => socket.write(answer);
    });

    const late = await send('one', { deadline: clock.now() + 1000 });
    sendLateAnswer();

    expect(describeResult(late)).toBe('failed timed_out');
    expect(describeResult(await send('two'))).toBe('200 two');
    expect(upstream.connections).toBe(2);
  });

  // Guards against treating unsolicited bytes as the answer to the next request.
  it('should close an idle connection on which an unsolicited answer arrives', async () => {
    const { send, upstream } = await startUpstream(({ socket, requestId, index }) => {
      socket.write(`${ok}content-length: 3\r\n\r\n${requestId}`);
      if (index === 0) setTimeout(() => socket.write(`${ok}content-length: 4\r\n\r\nfake`), 20);
    });

    await send('one');
    await clock.sleepUntil(clock.now() + 100);

    expect(describeResult(await send('two'))).toBe('200 two');
    expect(upstream.connections).toBe(2);
  });
});
