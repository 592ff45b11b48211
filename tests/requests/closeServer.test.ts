import { once } from 'node:events';
import type { AddressInfo } from 'node:net';

import { expect, it } from 'vitest';

import closeServer from '../../src/adapters/http/closeServer.ts';
import createHttpServer from '../../src/adapters/http/createHttpServer.ts';
import openServer from '../../src/adapters/http/openServer.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import SilentLog from '../fixtures/SilentLog.ts';

// Guards against a stop that lasts as long as callers keep their connections open, up to the idle
// timeout.
it('should close the connection of a call that was open when the server began to close', async () => {
  let answerCall = (): void => undefined;
  const server = createHttpServer({
    server: { keepAliveTimeout: 600_000 },
    log: new SilentLog(),
    failureMessage: 'test: handling a call failed',
    serve: async (_request, response) => {
      answerCall = () => response.end('answer');
    },
  });
  const address = { ip: '127.0.0.1', port: 0 };
  await openServer(server, { address, key: 'test', log: new SilentLog() });
  const { port } = server.address() as AddressInfo;
  const caller = await RawCaller.connectTo(`http://127.0.0.1:${port}`);
  caller.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  await once(server, 'request');

  const closed = closeServer(server);
  answerCall();

  expect(await caller.waitClosed()).toContain('answer');
  await closed;
});
