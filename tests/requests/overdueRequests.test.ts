import { once } from 'node:events';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';

import { expect, it } from 'vitest';

import createHttpServer from '../../src/adapters/http/createHttpServer.ts';
import openServer from '../../src/adapters/http/openServer.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';
import SilentLog from '../fixtures/SilentLog.ts';

// Guards against connections that stay open for good, because a stranger never closes its half.
it.each([
  ['sends nothing', '', '408'],
  ['sends no HTTP', 'garbage\r\n\r\n', '400'],
])(
  'should close the connection of a stranger that %s and never closes',
  async (_, text, status) => {
    const { server } = createHttpServer({
      server: { headersTimeout: 100, requestTimeout: 200 },
      clock: new SystemClock(),
      log: new SilentLog(),
      failureMessage: 'test: handling a call failed',
      serve: async () => undefined,
    });
    const address = { ip: '127.0.0.1', port: 0 };
    await openServer(server, { address, key: 'test', log: new SilentLog() });
    const accepted = once(server, 'connection');
    const { port } = server.address() as AddressInfo;
    const stranger = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    let received = '';
    stranger.on('data', (chunk: Buffer) => {
      received += chunk.toString();
    });
    stranger.write(text);
    const [socket] = await accepted;

    await once(socket, 'close');

    expect(received).toContain(status);
    stranger.destroy();
    await once(server.close(), 'close');
  },
);
