import { setImmediate, setTimeout as sleep } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';

import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import type { EntryPath } from '../fixtures/createEntryPath.ts';
import createPreset, { createRoute } from '../fixtures/createPreset.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';
import stopProcess from '../fixtures/stopProcess.ts';
import type { RawRequest } from '../fixtures/RawUpstream.ts';

const host = 'host: fleet';
const getHead = `GET /history/1 HTTP/1.1\r\n${host}\r\n`;
const postHead = `POST /bookings HTTP/1.1\r\n${host}\r\n`;
const preset = createPreset({
  routes: [
    createRoute({ maxAnswerBytes: 33_554_432 }),
    createRoute({ method: 'POST', path: '/bookings', repeat: 'never', maxBodyBytes: 10 }),
    createRoute({ method: 'POST', path: '/quick', deadlineMs: 100 }),
  ],
});
const callerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 1000, headersTimeoutMs: 10_000 };
const lateWarning = 'requests: closing connections whose callers did not read their answers';
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
  // Each row guards against a listener that dispatches a request that it must refuse, claims its
  // key or never answers it.
  it.each([
    ['bytes that are not HTTP', 'hello\r\n\r\n', malformed],
    ['an unknown method', `BREW /history/1 HTTP/1.1\r\n${host}\r\n\r\n`, malformed],
    [
      'a method without a route',
      `DELETE /history/1 HTTP/1.1\r\n${host}\r\n\r\n`,
      '404 route_unknown',
    ],
    ['a CONNECT request', `CONNECT other:80 HTTP/1.1\r\n${host}\r\n\r\n`, malformed],
    [
      'an absolute request target',
      `GET http://other/history/1 HTTP/1.1\r\n${host}\r\n\r\n`,
      malformed,
    ],
    ['the request target *', `OPTIONS * HTTP/1.1\r\n${host}\r\n\r\n`, malformed],
    ['an invalid percent encoding', `GET /history/%zz HTTP/1.1\r\n${host}\r\n\r\n`, malformed],
    [
      'a percent encoding that is not UTF-8',
      `GET /history/%ff HTTP/1.1\r\n${host}\r\n\r\n`,
      malformed,
    ],
    ['no host header', 'GET /history/1 HTTP/1.1\r\n\r\n', malformed],
    ['two host headers', `${getHead}host: other\r\n\r\n`, malformed],
    ['an unknown expectation', `${getHead}expect: magic\r\n\r\n`, malformed],
    [
      'two content lengths',
      `${postHead}content-length: 1\r\ncontent-length: 2\r\n\r\nab`,
      malformed,
    ],
    [
      'a content length with a chunked body',
      `${postHead}content-length: 1\r\ntransfer-encoding: chunked\r\n\r\n`,
      malformed,
    ],
    ['an unknown path', `GET /nothing HTTP/1.1\r\n${host}\r\n\r\n`, '404 route_unknown'],
    [
      'headers above the limit',
      `${getHead}x: ${'x'.repeat(17_000)}\r\n\r\n`,
      '431 headers_too_large',
    ],
    ['a body above the limit', `${postHead}content-length: 11\r\n\r\n`, '413 body_too_large'],
    [
      'a chunked body above the limit',
      `${postHead}transfer-encoding: chunked\r\n\r\nb\r\nhello world\r\n`,
      '413 body_too_large',
    ],
    [
      'a deadline that is not a number',
      `${getHead}pistachiohoist-deadline: soon\r\n\r\n`,
      '400 deadline_invalid',
    ],
    [
      'two deadlines',
      `${getHead}pistachiohoist-deadline: 9999999999999\r\npistachiohoist-deadline: 1\r\n\r\n`,
      '400 deadline_invalid',
    ],
    [
      'a deadline in the past',
      `${getHead}pistachiohoist-deadline: 1\r\n\r\n`,
      '504 deadline_passed',
    ],
    ['a missing idempotency key', `${postHead}\r\n`, '400 key_required'],
    [
      'two idempotency keys',
      `${postHead}idempotency-key: a\r\nidempotency-key: b\r\n\r\n`,
      '400 key_invalid',
    ],
    [
      'a body that is not complete by the deadline',
      `POST /quick HTTP/1.1\r\n${host}\r\ncontent-length: 5\r\n\r\nab`,
      '504 deadline_passed',
    ],
  ])('should refuse %s with the outcome not-run', async (_title, bytes, expected) => {
    const started = await startPath(({ socket }) => socket.write(answer));

    await expectRefusal(started, bytes, expected);
  });

  // Guards against a caller that holds a connection open without ever completing its headers. Only
  // this test shortens the timeout: on a busy machine the short timeout closed idle connections of
  // the other tests.
  it('should refuse headers that are not complete by the timeout with the outcome not-run', async () => {
    const started = await startPath(({ socket }) => socket.write(answer), {
      headersTimeoutMs: 300,
    });

    await expectRefusal(started, 'GET /history/1 HT', '408 request_timeout');
  });

  // Guards against a refusal as not run of a request that has arrived and runs, because the process
  // stood still meanwhile.
  it('should answer headers that are complete before the timeout while the process stands still', async () => {
    const { caller, upstream } = await startPath(({ socket }) => socket.write(answer), {
      headersTimeoutMs: 500,
    });
    caller.write('GET /history/1 HT');
    // Timers run next after this, and before reading.
    await setImmediate();

    caller.write(`TP/1.1\r\n${host}\r\nconnection: close\r\n\r\n`);
    stopProcess(1200);

    expect(await caller.waitClosed()).toMatch(/^HTTP\/1\.1 200 OK\r\n[^]*ok$/);
    expect(upstream.requestIds).toHaveLength(1);
  });

  // Guards against cutting off a request that has been passed on because of what follows it.
  it('should answer the open request before it closes a connection with malformed bytes', async () => {
    const { caller } = await startPath(({ socket }) => {
      setImmediate().then(() => socket.write(answer), undefined);
    });
    caller.write(`${getHead}\r\ngarbage\r\n\r\n`);

    expect(await caller.waitClosed()).toMatch(/^HTTP\/1.1 200 OK\r\n.*\r\n\r\nok$/s);
  });

  // Guards against cutting off a request because the next one on its connection is overdue.
  it('should answer an open request when the headers after it are not complete by the timeout', async () => {
    const { caller } = await startPath(
      ({ socket }) => {
        setTimeout(() => socket.write(answer), 1200);
      },
      { headersTimeoutMs: 100 },
    );

    caller.write(`${getHead}\r\nGET /history/2`);

    expect(await caller.waitClosed()).toMatch(/connection: close\r\n[^]*ok$/i);
  });

  // Guards against running a request after the caller was told that it was not run.
  it('should not run a request whose headers are complete after their refusal', async () => {
    const { path, upstream } = await startPath(({ socket }) => socket.write(answer), {
      headersTimeoutMs: 300,
    });
    const refused = await RawCaller.connectTo(path.origin, { allowHalfOpen: true });
    refused.write('GET /history/1 HT');
    await refused.waitFor('"message":');

    refused.write(`TP/1.1\r\n${host}\r\n\r\n`);
    // Their answers come later than the host has read the refused request.
    const others = await Promise.all([1, 2, 3].map(() => RawCaller.connectTo(path.origin)));
    others.forEach((other) => other.write(`${getHead}\r\n`));
    await Promise.all(others.map((other) => other.waitFor('ok')));

    expect(refused.received).toContain('pistachiohoist-outcome: not-run');
    expect(upstream.requestIds).toHaveLength(others.length);
    refused.socket.destroy();
  });

  // Guards against closing a connection for its silence when its request has arrived and was not
  // read, because the process stood still meanwhile.
  it('should answer a request that arrives before the idle timeout while the process stands still', async () => {
    const { path, caller } = await startPath(({ socket }) => socket.write(answer));
    path.frontEnd.useLimits({ ...callerLimits, idleTimeoutMs: 1000 });
    caller.write(`${getHead}\r\n`);
    await caller.waitFor('ok');
    // Node.js starts the timeout once more when it ends for the first time after an answer.
    await sleep(1200);
    // Timers run next after this, and before reading.
    await setImmediate();
    caller.write(`${getHead}connection: close\r\n\r\n`);
    stopProcess(1200);

    expect((await caller.waitClosed()).match(/HTTP\/1\.1 200/g)).toHaveLength(2);
  });

  // Guards against connections that stay open without use; Node.js switches its timeout off when an
  // empty line follows an answer.
  it.each(['', '\r\n'])(
    'should end a connection that is silent for the idle timeout after an answer and %j',
    async (text) => {
      const { path, caller } = await startPath(({ socket }) => socket.write(answer));
      path.frontEnd.useLimits({ ...callerLimits, idleTimeoutMs: 100 });

      caller.write(`${getHead}\r\n`);
      await caller.waitFor('ok');
      caller.write(text);

      expect(await caller.waitClosed()).toMatch(/ok$/);
    },
  );

  // Guards against closing a connection while an upstream needs longer than the idle timeout.
  it('should answer a request that takes longer than the idle timeout', async () => {
    const { path } = await startPath(({ socket }) => {
      setTimeout(() => socket.write(answer), 500);
    });
    path.frontEnd.useLimits({ ...callerLimits, idleTimeoutMs: 100 });
    const caller = await RawCaller.connectTo(path.origin);

    caller.write(`${getHead}\r\n`);

    expect(await caller.waitClosed()).toMatch(/ok$/);
  });

  // Guards against losing the refusal because the connection is reset while the caller is still
  // sending.
  it('should deliver the refusal of a large body that is still being sent', async () => {
    const { caller } = await startPath(() => undefined);

    caller.write(`${postHead}content-length: 8000000\r\n\r\n${'x'.repeat(8_000_000)}`);

    expect(await caller.waitClosed()).toContain('413 Payload Too Large');
  });

  // Guards against an error answer that the caller mistakes for the answer to its open request.
  it('should close the connection without answering malformed bytes while a request is open', async () => {
    const { upstream, caller } = await startPath(({ socket }) => {
      setTimeout(() => socket.write(answer), 50);
    });

    caller.write(`${getHead}\r\n`);
    await expect.poll(() => upstream.requestIds.length).toBe(1);
    caller.write('garbage\r\n\r\n');

    expect(await caller.waitClosed()).not.toContain('not-run');
  });

  // Guards against merging headers of the same name, and against a body with a status that allows
  // none.
  it('should pass on repeated headers and a 204 without a content length', async () => {
    const { caller } = await startPath(({ socket }) =>
      socket.write('HTTP/1.1 204 None\r\nset-cookie: a=1\r\nset-cookie: b=2\r\n\r\n'),
    );

    caller.write(`${getHead}connection: close\r\n\r\n`);
    const text = await caller.waitClosed();

    expect(text).toContain('set-cookie: a=1\r\nset-cookie: b=2\r\n');
    expect(text).not.toMatch(/content-length|transfer-encoding/i);
  });

  describe('while the host stops', () => {
    // Guards against closing connections with open requests, and against callers that stay
    // connected to a stopping host.
    it('should answer open and new requests with connection: close', async () => {
      const { path, caller, upstream } = await startPath(({ socket }) => {
        setTimeout(() => socket.write(answer), 100);
      });
      const idleCaller = await RawCaller.connectTo(path.origin);
      const reusedCaller = await RawCaller.connectTo(path.origin);
      reusedCaller.write(`${getHead}\r\n`);
      await reusedCaller.waitFor('ok');
      caller.write(`${getHead}\r\n`);
      await expect.poll(() => upstream.requestIds.length).toBe(2);

      path.frontEnd.startClose();
      reusedCaller.write(`${getHead}\r\n`);
      const closed = reusedCaller.waitClosed();
      await expect.poll(() => upstream.requestIds.length).toBe(3);
      await path.frontEnd.closeListener();

      expect(await caller.waitClosed()).toMatch(/connection: close\r\n[^]*ok$/i);
      expect(await closed).toMatch(/keep-alive\r\n[^]*ok[^]*connection: close\r\n[^]*ok$/i);
      expect(await idleCaller.waitClosed()).toBe('');
      await expect(RawCaller.connectTo(path.origin)).rejects.toThrow('ECONNREFUSED');
    });

    // Guards against a stopping entry host that destroys connections that it has accepted but not
    // yet read from, which resets their first requests.
    it('should answer a request that arrives on a new connection while the listener closes', async () => {
      const { path } = await startPath(({ socket }) => socket.write(answer));
      const newCaller = await RawCaller.connectTo(path.origin);

      const closed = path.frontEnd.closeListener();
      newCaller.write(`${getHead}\r\n`);
      await closed;

      expect(await newCaller.waitClosed()).toMatch(/connection: close\r\n[^]*ok$/i);
    });

    // Guards against requests that the operating system has received and the process has not
    // accepted: closing the listener resets their connections.
    it('should answer requests on connections that it has not accepted when it closes', async () => {
      const { path } = await startPath(({ socket }) => socket.write(answer));
      const callers = await RawCaller.openQueued(path.origin, 50);
      callers.forEach((caller) => caller.write(`${getHead}\r\n`));

      await path.frontEnd.closeListener();

      const texts = await Promise.all(callers.map((caller) => caller.waitClosed()));
      expect(texts.filter((text) => /200 OK\r\n[^]*ok$/.test(text))).toHaveLength(50);
    });

    async function waitListenerClosed(path: EntryPath): Promise<void> {
      while (path.frontEnd.address) await setImmediate();
    }

    // Guards against closing a connection for its silence when its request has arrived and was not
    // read, because the process stood still meanwhile.
    it('should answer a request that arrives while the process stands still', async () => {
      const { path, caller } = await startPath(({ socket }) => socket.write(answer));
      caller.write(`${getHead}\r\n`);
      await caller.waitFor('ok');

      const closed = path.frontEnd.closeListener();
      await waitListenerClosed(path);
      caller.write(`${getHead}\r\n`);
      stopProcess(500);
      await closed;

      expect((await caller.waitClosed()).match(/HTTP\/1\.1 200/g)).toHaveLength(2);
    });

    // Guards against closing a connection on which a part of a request has arrived, or none yet.
    it.each([
      ['the rest of a request', getHead.slice(0, 20)],
      ['the first request of a connection', ''],
    ])('should answer %s after it has closed idle connections', async (_title, part) => {
      const { path, caller } = await startPath(({ socket }) => socket.write(answer));
      const idleCaller = await RawCaller.connectTo(path.origin);
      idleCaller.write(`${getHead}\r\n`);
      await idleCaller.waitFor('ok');
      caller.write(part);

      const closed = path.frontEnd.closeListener();
      await idleCaller.waitClosed();
      caller.write(`${getHead.slice(part.length)}\r\n`);
      await closed;

      expect(await caller.waitClosed()).toMatch(/connection: close\r\n[^]*ok$/i);
    });

    // Guards against a host that is killed while it waits for the rest of a request.
    it('should end a connection with a part of a request at the deadline', async () => {
      const { path, caller } = await startPath(() => undefined);
      caller.write(getHead);

      await path.frontEnd.closeListener(Date.now() + 500);

      expect(await caller.waitClosed()).toBe('');
      expect(path.log.messages).toEqual(['lifecycle: the callers listener is closed']);
    });

    // Guards against a host that is killed in its stop because strangers with parts of requests,
    // who keep their connections open, hold it until the last moment.
    it.each([
      ['headers', getHead, ''],
      ['a body', `${postHead}content-length: 10\r\n\r\nab`, '503 host_stopping not-run'],
    ])('should end a connection with a part of %s in time', async (_title, part, refusal) => {
      const { path } = await startPath(() => undefined);
      const stranger = await RawCaller.connectTo(path.origin, { allowHalfOpen: true });
      stranger.write(part);

      await path.frontEnd.closeListener(Date.now() + 2000);

      const text = stranger.received;
      stranger.socket.destroy();
      const [, status = ''] = /^HTTP\/1\.1 (\d+)/.exec(text) ?? [];
      const [, kind = ''] = /pistachiohoist-error: (\w+)/.exec(text) ?? [];
      const [, outcome = ''] = /pistachiohoist-outcome: ([\w-]+)/.exec(text) ?? [];
      expect([status, kind, outcome].join(' ').trim()).toBe(refusal);
      expect(path.log.messages).not.toContain(lateWarning);
    });

    // Guards against refusing a body for its absence when it has arrived and was not read, because
    // the process stood still meanwhile.
    it('should read a body that arrives while the process stands still', async () => {
      const { path, caller } = await startPath(() => undefined);
      caller.write(`${postHead}content-length: 4\r\n\r\nab`);

      const closed = path.frontEnd.closeListener(Date.now() + 3000);
      await waitListenerClosed(path);
      caller.write('cd');
      stopProcess(1700);
      await closed;

      expect(await caller.waitClosed()).toContain('pistachiohoist-error: key_required');
    });

    // Guards against closing a connection before a pipelined request on it is answered.
    it.each([
      ['before the upstream has answered either', [1, 0], 0],
      ['after the upstream has answered the second', [1, 0], 1],
      ['after the upstream has answered the first', [0, 1], 1],
    ])(
      'should answer both pipelined requests when the listener closes %s',
      async (_title, order, answeredBefore) => {
        const requests: RawRequest[] = [];
        const { path, caller } = await startPath((request) => requests.push(request));
        // The upstream may receive the two requests in any order.
        const answerRequest = (requestNumber: number): void => {
          requests
            .find(({ head }) => head.includes(`/history/${requestNumber} `))
            ?.socket.write(answer);
        };
        caller.write(
          [0, 1]
            .map((requestNumber) => `GET /history/${requestNumber} HTTP/1.1\r\n${host}\r\n\r\n`)
            .join(''),
        );
        await expect.poll(() => requests.length).toBe(2);
        order.slice(0, answeredBefore).forEach(answerRequest);
        await new Promise((resolve) => {
          setTimeout(resolve, 50);
        });

        const closed = path.frontEnd.closeListener();
        order.slice(answeredBefore).forEach(answerRequest);
        await closed;

        expect((await caller.waitClosed()).match(/HTTP\/1\.1 200/g)).toHaveLength(2);
        expect(path.log.messages).toEqual([
          'requests: answered',
          'requests: answered',
          'lifecycle: the callers listener is closed',
        ]);
      },
    );

    // Guards against destroying a connection whose last answer is not fully sent yet.
    it('should send the rest of a large answer to a slow caller', async () => {
      const size = 20_000_000;
      const { path, caller } = await startPath(({ socket }) =>
        socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${size}\r\n\r\n${'x'.repeat(size)}`),
      );
      caller.write(`${getHead}\r\n`);
      await caller.waitFor('xxx');
      caller.socket.pause();

      const closed = path.frontEnd.closeListener();
      setTimeout(() => caller.socket.resume(), 200);
      await closed;

      const text = await caller.waitClosed();
      expect(text.length - text.indexOf('\r\n\r\n') - 4).toBe(size);
    });
  });

  // Guards against one caller that ends the process, and with it the requests of all others.
  it('should go on when callers of CONNECT requests reset their connections', async () => {
    const { path, caller } = await startPath(({ socket }) => socket.end(answer));
    const failure = 'requests: the connection of a caller failed';
    // A reset that arrives before the host has read the request shows nothing.
    while (!path.log.messages.includes(failure)) {
      const resetting = await RawCaller.connectTo(path.origin);
      resetting.write(`CONNECT other:80 HTTP/1.1\r\n${host}\r\n\r\n`);
      resetting.socket.resetAndDestroy();
      await resetting.waitClosed();
      await setImmediate();
    }

    caller.write(`${getHead}\r\n`);
    await caller.waitFor('ok');
  });
});
