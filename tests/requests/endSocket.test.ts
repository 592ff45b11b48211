import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import endSocket from '../../src/adapters/http/endSocket.ts';
import RawCaller from '../fixtures/RawCaller.ts';

describe('end of a connection that no server reads', () => {
  const server = createServer();
  let socket: Socket;
  let caller: RawCaller;

  beforeEach(async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const handedOver = once(server, 'connect');
    caller = await RawCaller.connectTo(`http://127.0.0.1:${port}`);
    caller.write('CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\nunread');
    [, socket] = (await handedOver) as [unknown, Socket];
  });

  afterEach(() => server.close());

  // Guards against a host that runs out of descriptors because strangers closed their connections.
  it('should come when the other side closes', async () => {
    const closed = once(socket, 'close');
    endSocket(socket, 'answer');

    expect(await caller.waitClosed()).toBe('answer');
    await closed;
    expect(socket.destroyed).toBe(true);
  });

  // Guards against the same by strangers that never close.
  it('should come soon when the other side goes on sending', async () => {
    caller.socket.allowHalfOpen = true;
    const sending = setInterval(() => caller.write('more'), 5);
    const closed = once(socket, 'close');
    endSocket(socket, 'answer');

    await closed;
    clearInterval(sending);
    expect(caller.received).toBe('answer');
  });
});
