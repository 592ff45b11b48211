import { once } from 'node:events';
import { createServer } from 'node:http';
import type { ServerOptions, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setImmediate } from 'node:timers/promises';

import { expect, it } from 'vitest';

import closeServer from '../../src/adapters/http/closeServer.ts';
import createHttpServer from '../../src/adapters/http/createHttpServer.ts';
import openServer from '../../src/adapters/http/openServer.ts';
import stopListening from '../../src/adapters/http/stopListening.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import SilentLog from '../fixtures/SilentLog.ts';
import stopProcess from '../fixtures/stopProcess.ts';

const call = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

async function startServer(
  serve: (response: ServerResponse) => void,
  options: ServerOptions = { keepAliveTimeout: 600_000 },
) {
  const clock = new SystemClock();
  const { server, connections } = createHttpServer({
    server: options,
    clock,
    log: new SilentLog(),
    failureMessage: 'test: handling a call failed',
    serve: async (_request, response) => serve(response),
  });
  const address = { ip: '127.0.0.1', port: 0 };
  await openServer(server, { address, key: 'test', log: new SilentLog() });
  const { port } = server.address() as AddressInfo;
  const close = (closeMs = 600_000) => {
    const deadline = clock.now() + closeMs;
    return closeServer({ server, connections, clock, readDeadline: () => deadline });
  };
  return { server, close, origin: `http://127.0.0.1:${port}` };
}

// Guards against a stop that lasts as long as callers keep their connections open, up to the idle
// timeout.
it('should close the connection of a call that was open when the server began to close', async () => {
  let answerCall = (): void => undefined;
  const { server, close, origin } = await startServer((response) => {
    answerCall = () => response.end('answer');
  });
  const caller = await RawCaller.connectTo(origin);
  caller.write(call);
  await once(server, 'request');

  const closed = close();
  answerCall();

  expect(await caller.waitClosed()).toContain('answer');
  await closed;
});

// Guards against calls of operators and upstreams that a control host cuts off when it stops: the
// operating system has opened their connections, and the process has not accepted them.
it('should answer calls on connections that it has not accepted when it closes', async () => {
  const { close, origin } = await startServer((response) => response.end('answer'));
  const callers = await RawCaller.openQueued(origin, 50);
  callers.forEach((caller) => caller.write(call));

  await close();

  const texts = await Promise.all(callers.map((caller) => caller.waitClosed()));
  expect(texts.filter((text) => text.includes('answer'))).toHaveLength(50);
});

// Guards against a stop that a call without an end holds open.
it('should close all connections at the deadline', async () => {
  const { server, close, origin } = await startServer(() => undefined);
  const caller = await RawCaller.connectTo(origin);
  caller.write(call);
  await once(server, 'request');

  const closed = await close(300);

  expect(await caller.waitClosed()).toBe('');
  expect(closed).toMatchObject({ closedLate: 1, cutOff: 1 });
});

// Guards against a call that is run although its caller was told that it was not run.
it('should not refuse a call whose headers arrive while the process stands still', async () => {
  const { close, origin } = await startServer((response) => response.end('answer'), {
    ...{ headersTimeout: 500, connectionsCheckingInterval: 100 },
  });
  const caller = await RawCaller.connectTo(origin);
  caller.write(call.slice(0, 10));
  // Timers run next after this, and before reading.
  await setImmediate();

  caller.write(call.slice(10));
  stopProcess(800);
  await caller.waitFor('answer');

  expect(caller.received).not.toContain('408');
  await close();
});

// Guards against a connection that is reset because it opens in the turn of the event loop in which
// the listener closes.
it.each([
  [[0.5, 0.5, 0.01, 0.01], 3],
  [[20, 20, 20, 0.5, 0.01], 4],
  [[20, 20, 20, 2, 0.01], 5],
])('should close a listener in a short turn of %j ms: number %i', async (turns, lastTurn) => {
  let now = 0;
  let turn = -1;
  const clock = {
    now: () => now,
    sleepUntil: async () => undefined,
    yieldToEventLoop: async () => {
      now += turn < 0 ? 0 : (turns[turn] ?? 0);
      turn += 1;
    },
  };

  await stopListening({ server: createServer(), clock, deadline: Infinity });

  expect(turn).toBe(lastTurn);
});
