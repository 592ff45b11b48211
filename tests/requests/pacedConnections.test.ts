import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';

import createHttpServer from '../../src/adapters/http/createHttpServer.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';
import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import type { EntryPath } from '../fixtures/createEntryPath.ts';
import createPreset, { createRoute } from '../fixtures/createPreset.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';
import type { RawRequest } from '../fixtures/RawUpstream.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const body = 'b'.repeat(4096);

function createRequest(index: number, fields = ''): string {
  return index % 2 === 0
    ? `GET /history/${index} HTTP/1.1\r\nhost: fleet\r\n${fields}\r\n`
    : `POST /filters HTTP/1.1\r\nhost: fleet\r\ncontent-length: ${body.length}\r\n${fields}\r\n${body}`;
}

describe('callers whose bytes are handed to the parser in slices', () => {
  let requests: RawRequest[] = [];
  let upstream: RawUpstream | undefined;
  let path: EntryPath | undefined;

  async function openCaller(answer?: (request: RawRequest) => void): Promise<RawCaller> {
    requests = [];
    upstream = new RawUpstream((request) => {
      requests.push(request);
      answer?.(request);
    });
    const routes = [createRoute(), createRoute({ method: 'POST', path: '/filters' })];
    const upstreams = [createUsable('a', await upstream.open())];
    path = await createEntryPath({ upstreams, preset: createPreset({ routes }) });
    return RawCaller.connectTo(path.origin);
  }

  afterEach(async () => {
    upstream?.close();
    await path?.close();
  });

  // Guards against requests that run on for a caller that has gone, because the end of its
  // connection waits behind requests that it sent ahead.
  it.each([1, 200])(
    'should have their requests cancelled when they close after sending %i',
    async (count) => {
      const caller = await openCaller();
      caller.write(Array.from({ length: count }, () => createRequest(0)).join(''));
      await expect.poll(() => requests.length).toBeGreaterThan(0);
      caller.socket.end();

      // Answers would be those at the deadline.
      expect(await caller.waitClosed()).toBe('');
      await expect.poll(() => requests.every(({ socket }) => socket.destroyed)).toBe(true);
      expect(requests.length).toBeLessThan(100);
    },
  );

  // Guards against bodies and heads that are cut at the end of a slice.
  it('should get the answers to 20 requests with and without a body in their order', async () => {
    const caller = await openCaller(({ socket, head }) => {
      const received = /x-index: (\d+)/.exec(head)?.[1]?.padStart(3, '0');
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n${received}`);
    });
    caller.write(
      Array.from({ length: 20 }, (_, index) => createRequest(index, `x-index: ${index}\r\n`)).join(
        '',
      ),
    );
    await caller.waitFor('\r\n\r\n019');

    expect(
      [...caller.received.matchAll(/\r\n\r\n(\d{3})/g)].map(([, text]) => Number(text)),
    ).toEqual(Array.from({ length: 20 }, (_, index) => index));
  });

  // Guards against a caller that waits for leave to send its body, which the layer would withhold.
  it('should be told to go on by 100 Continue', async () => {
    const caller = await openCaller(({ socket }) =>
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone'),
    );
    const request = createRequest(1, 'expect: 100-continue\r\n');
    caller.write(request.slice(0, -body.length));
    await caller.waitFor('HTTP/1.1 100');
    caller.write(body);

    await caller.waitFor('done');
  });

  // Guards against requests that are passed on although the answer before them closes the
  // connection, so that their caller sends them a second time.
  it('should not have requests passed on that follow the last answer', async () => {
    const caller = await openCaller(({ socket }) => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nanswer');
    });
    caller.write(createRequest(0, 'connection: close\r\n') + createRequest(0).repeat(100));
    const received = await caller.waitClosed();

    expect(received.match(/HTTP\/1.1 200/g)).toHaveLength(1);
    expect(received.endsWith('answer')).toBe(true);
    expect(requests).toHaveLength(1);
  });

  // Guards against an error of the tunnelled bytes, which the layer goes on receiving.
  it('should have CONNECT refused and what follows it discarded', async () => {
    const caller = await openCaller();
    caller.write(`CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n${createRequest(0).repeat(3000)}`);

    expect(await caller.waitClosed()).toMatch(/^HTTP\/1.1 400 .*\r\n\r\n.*CONNECT/s);
    expect(requests).toHaveLength(0);
  });

  it('should get an ordinary answer when they ask for an upgrade', async () => {
    const caller = await openCaller(({ socket }) =>
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone'),
    );
    caller.write(createRequest(0, 'connection: upgrade\r\nupgrade: h2c\r\n'));

    await caller.waitFor('done');
  });
});

describe('the last answer on a connection', () => {
  // Guards against a reset, with which the rest of an answer is lost that is still being sent.
  it('should reach a slow client whole although the client sends more than is read', async () => {
    const answer = Buffer.alloc(2_000_000, 'x');
    const { server, connections } = createHttpServer({
      ...{ clock: new SystemClock(), log: new SilentLog(), server: {} },
      failureMessage: 'test',
      serve: async (request, response) => {
        request.resume();
        connections.markLastAnswer(request.socket, response);
        response.shouldKeepAlive = false;
        response.end(answer);
      },
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as { port: number };
    const caller = await RawCaller.connectTo(`http://127.0.0.1:${port}`);
    caller.socket.pause();
    caller.write(createRequest(0).repeat(10_000));
    await sleep(200);
    caller.socket.resume();
    const received = await caller.waitClosed();
    server.close();

    expect(received.length - received.indexOf('\r\n\r\n') - 4).toBe(answer.byteLength);
  });
});
