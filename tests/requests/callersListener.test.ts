import { afterEach, describe, expect, it } from 'vitest';

import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import type { EntryPath } from '../fixtures/createEntryPath.ts';
import createPreset, { createRoute } from '../fixtures/createPreset.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';
import type { RawRequest } from '../fixtures/RawUpstream.ts';

const host = 'host: fleet';
const get = `GET /history/1 HTTP/1.1\r\n${host}\r\n`;
const post = `POST /bookings HTTP/1.1\r\n${host}\r\n`;
const preset = createPreset({
  routes: [
    createRoute({ maxAnswerBytes: 33_554_432 }),
    createRoute({ method: 'POST', path: '/bookings', repeat: 'never', maxBodyBytes: 10 }),
    createRoute({ method: 'POST', path: '/quick', deadlineMs: 100 }),
  ],
});
const answer = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

describe("callers' listener", () => {
  const upstreams: RawUpstream[] = [];
  const paths: EntryPath[] = [];
  const claimedKeys: string[] = [];

  async function startPath(
    answerRequest: (request: RawRequest) => void,
    limits: { readonly headersTimeoutMs?: number } = {},
  ) {
    const upstream = new RawUpstream(answerRequest);
    upstreams.push(upstream);
    const path = await createEntryPath({
      upstreams: [createUsable('a', await upstream.open())],
      preset,
      ...limits,
      claims: {
        requestClaim: async ({ key }) => {
          claimedKeys.push(key);
          const failure = { kind: 'claims_unavailable', message: 'claim: refused' } as const;
          return { kind: 'refused', failure };
        },
        waitIdle: async () => undefined,
      },
    });
    paths.push(path);
    return { upstream, path, caller: await RawCaller.connectTo(path.origin) };
  }

  afterEach(async () => {
    claimedKeys.length = 0;
    await Promise.all(paths.splice(0).map((path) => path.close()));
    upstreams.splice(0).forEach((upstream) => upstream.close());
  });

  async function expectRefusal(
    { upstream, caller }: Pick<Awaited<ReturnType<typeof startPath>>, 'upstream' | 'caller'>,
    bytes: string,
    expected: string,
  ): Promise<void> {
    caller.write(bytes);
    await caller.waitFor('"message":');
    const status = /^HTTP\/1\.1 (\d+)/.exec(caller.received)?.[1];
    const kind = /pistachiohoist-error: (\w+)/.exec(caller.received)?.[1];
    expect(`${status} ${kind}`).toBe(expected);
    expect(caller.received).toContain('pistachiohoist-outcome: not-run');
    expect(upstream.connections).toBe(0);
    expect(claimedKeys).toEqual([]);
    caller.socket.destroy();
  }

  const malformed = '400 request_malformed';
  // Each row guards against running, claiming or hanging on input that the listener must refuse.
  it.each([
    ['bytes that are no HTTP', 'hello\r\n\r\n', malformed],
    ['an unknown method', `BREW /history/1 HTTP/1.1\r\n${host}\r\n\r\n`, malformed],
    [
      'a method without a route',
      `DELETE /history/1 HTTP/1.1\r\n${host}\r\n\r\n`,
      '404 route_unknown',
    ],
    ['a CONNECT request', `CONNECT other:80 HTTP/1.1\r\n${host}\r\n\r\n`, malformed],
    ['an absolute target', `GET http://other/history/1 HTTP/1.1\r\n${host}\r\n\r\n`, malformed],
    ['the target *', `OPTIONS * HTTP/1.1\r\n${host}\r\n\r\n`, malformed],
    ['an invalid escape', `GET /history/%zz HTTP/1.1\r\n${host}\r\n\r\n`, malformed],
    ['an escape that is no UTF-8', `GET /history/%ff HTTP/1.1\r\n${host}\r\n\r\n`, malformed],
    ['no host header', 'GET /history/1 HTTP/1.1\r\n\r\n', malformed],
    ['two host headers', `${get}host: other\r\n\r\n`, malformed],
    ['an unknown expectation', `${get}expect: magic\r\n\r\n`, malformed],
    ['two lengths', `${post}content-length: 1\r\ncontent-length: 2\r\n\r\nab`, malformed],
    [
      'length and chunks',
      `${post}content-length: 1\r\ntransfer-encoding: chunked\r\n\r\n`,
      malformed,
    ],
    ['an unknown path', `GET /nothing HTTP/1.1\r\n${host}\r\n\r\n`, '404 route_unknown'],
    ['headers above the limit', `${get}x: ${'x'.repeat(17_000)}\r\n\r\n`, '431 headers_too_large'],
    ['a body above the limit', `${post}content-length: 11\r\n\r\n`, '413 body_too_large'],
    [
      'chunks above the limit',
      `${post}transfer-encoding: chunked\r\n\r\nb\r\nhello world\r\n`,
      '413 body_too_large',
    ],
    ['a deadline in words', `${get}pistachiohoist-deadline: soon\r\n\r\n`, '400 deadline_invalid'],
    [
      'two deadlines',
      `${get}pistachiohoist-deadline: 9999999999999\r\npistachiohoist-deadline: 1\r\n\r\n`,
      '400 deadline_invalid',
    ],
    ['a deadline in the past', `${get}pistachiohoist-deadline: 1\r\n\r\n`, '504 deadline_passed'],
    ['no key', `${post}\r\n`, '400 key_required'],
    ['two keys', `${post}idempotency-key: a\r\nidempotency-key: b\r\n\r\n`, '400 key_invalid'],
    [
      'a body that comes too slowly',
      `POST /quick HTTP/1.1\r\n${host}\r\ncontent-length: 5\r\n\r\nab`,
      '504 deadline_passed',
    ],
  ])('should refuse %s as not run', async (_title, bytes, expected) => {
    const path = await startPath(({ socket }) => socket.write(answer));

    await expectRefusal(path, bytes, expected);
  });

  // Guards against a caller that holds a connection without ever finishing its headers. Only this
  // test shortens the timeout: on a busy machine it ended idle connections of the others.
  it('should refuse headers that come too slowly as not run', async () => {
    const path = await startPath(({ socket }) => socket.write(answer), { headersTimeoutMs: 300 });

    await expectRefusal(path, 'GET /history/1 HT', '408 request_timeout');
  });

  // Guards against losing the refusal because the connection is reset while the caller still sends.
  it('should deliver the refusal of a large body that is still being sent', async () => {
    const { caller } = await startPath(() => undefined);

    caller.write(`${post}content-length: 8000000\r\n\r\n${'x'.repeat(8_000_000)}`);

    expect(await caller.waitClosed()).toContain('413 Payload Too Large');
  });

  // Guards against an error that the caller takes for the answer to its open request.
  it('should not answer garbage behind a request that is still open', async () => {
    const { upstream, caller } = await startPath(({ socket }) => {
      setTimeout(() => socket.write(answer), 50);
    });

    caller.write(`${get}\r\n`);
    await expect.poll(() => upstream.requestIds.length).toBe(1);
    caller.write('garbage\r\n\r\n');

    expect(await caller.waitClosed()).not.toContain('not-run');
  });

  // Guards against merging equal headers and against a body with a status that has none.
  it('should pass on several equal headers and a 204 without a length', async () => {
    const { caller } = await startPath(({ socket }) =>
      socket.write('HTTP/1.1 204 None\r\nset-cookie: a=1\r\nset-cookie: b=2\r\n\r\n'),
    );

    caller.write(`${get}connection: close\r\n\r\n`);
    const text = await caller.waitClosed();

    expect(text).toContain('set-cookie: a=1\r\nset-cookie: b=2\r\n');
    expect(text).not.toMatch(/content-length|transfer-encoding/i);
  });

  describe('while stopping', () => {
    // Guards against cutting off open requests, and against leaving callers on a stopping host.
    it('should answer open and new requests with connection: close', async () => {
      const { path, caller, upstream } = await startPath(({ socket }) => {
        setTimeout(() => socket.write(answer), 100);
      });
      const idle = await RawCaller.connectTo(path.origin);
      const kept = await RawCaller.connectTo(path.origin);
      kept.write(`${get}\r\n`);
      await kept.waitFor('ok');
      caller.write(`${get}\r\n`);
      await expect.poll(() => upstream.requestIds.length).toBe(2);

      path.frontEnd.startClose();
      kept.write(`${get}\r\n`);
      const closed = kept.waitClosed();
      await expect.poll(() => upstream.requestIds.length).toBe(3);
      await path.frontEnd.closeListener();

      expect(await caller.waitClosed()).toMatch(/connection: close\r\n[^]*ok$/i);
      expect(await closed).toMatch(/keep-alive\r\n[^]*ok[^]*connection: close\r\n[^]*ok$/i);
      expect(await idle.waitClosed()).toBe('');
      await expect(RawCaller.connectTo(path.origin)).rejects.toThrow('ECONNREFUSED');
    });

    // A stopping entry host destroyed connections that it had accepted but not yet read from, so
    // their first requests were reset.
    it('should answer a request that arrives on a new connection while it closes', async () => {
      const { path } = await startPath(({ socket }) => socket.write(answer));
      const fresh = await RawCaller.connectTo(path.origin);

      const closed = path.frontEnd.closeListener();
      fresh.write(`${get}\r\n`);
      await closed;

      expect(await fresh.waitClosed()).toMatch(/connection: close\r\n[^]*ok$/i);
    });

    // Guards against closing a connection in front of a request that was pipelined behind.
    it.each([
      ['before the second was answered', [1, 0], 0],
      ['after the second was answered', [1, 0], 1],
      ['between the answers in order', [0, 1], 1],
    ])('should answer pipelined requests when it begins %s', async (_title, order, before) => {
      const requests: RawRequest[] = [];
      const { path, caller } = await startPath((request) => requests.push(request));
      // The upstream may receive the two in any order.
      const answerCall = (call: number): void => {
        requests.find(({ head }) => head.includes(`/history/${call} `))?.socket.write(answer);
      };
      caller.write(
        [0, 1].map((call) => `GET /history/${call} HTTP/1.1\r\n${host}\r\n\r\n`).join(''),
      );
      await expect.poll(() => requests.length).toBe(2);
      order.slice(0, before).forEach(answerCall);
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });

      const closed = path.frontEnd.closeListener();
      order.slice(before).forEach(answerCall);
      await closed;

      expect((await caller.waitClosed()).match(/HTTP\/1\.1 200/g)).toHaveLength(2);
      expect(path.log.messages).toEqual(['requests: answered', 'requests: answered']);
    });

    // Guards against destroying a connection whose last answer is not fully sent yet.
    it('should send the rest of a large answer to a slow caller', async () => {
      const size = 20_000_000;
      const { path, caller } = await startPath(({ socket }) =>
        socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${size}\r\n\r\n${'x'.repeat(size)}`),
      );
      caller.write(`${get}\r\n`);
      await caller.waitFor('xxx');
      caller.socket.pause();

      const closed = path.frontEnd.closeListener();
      setTimeout(() => caller.socket.resume(), 200);
      await closed;

      const text = await caller.waitClosed();
      expect(text.length - text.indexOf('\r\n\r\n') - 4).toBe(size);
    });
  });
});
