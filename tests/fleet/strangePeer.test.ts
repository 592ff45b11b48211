import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { WebSocketServer } from 'ws';
import * as z from 'zod';

import SystemClock from '../../src/adapters/system/SystemClock.ts';
import TrpcPeerConnection from '../../src/adapters/trpc/TrpcPeerConnection.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const maxAnswerMs = 5000;
// The connection is opened again several times within it.
const maxHandshakeMs = 300;
const clock = new SystemClock();
const accept =
  'HTTP/1.1 101 x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: ';

// Guards against a host that ends because an address that it knows as that of a peer belongs to
// another program, or because of what a faulty peer answers.
describe('connection to a peer that answers strangely', () => {
  const uncaught: string[] = [];
  const recordUncaught = (error: Error): void => {
    uncaught.push(error.message);
  };
  const log = new SilentLog();
  let connection: TrpcPeerConnection;

  beforeEach(() => {
    uncaught.length = 0;
    process.on('uncaughtException', recordUncaught);
  });

  afterEach(() => {
    connection.close();
    process.off('uncaughtException', recordUncaught);
  });

  function openConnection(address: string): void {
    connection = new TrpcPeerConnection({
      ...{ address, peerKey: 'key', ownHost: 'h', clock, idleCloseMs: 1000, log },
    });
  }

  function requestPeer(waitMs = maxAnswerMs) {
    const deadline = clock.now() + waitMs;
    return connection.requestPeer({ path: 'x', input: 1, output: z.literal(1), deadline });
  }

  it.each([
    ...['', '{', 'null', '7', '[]', '[null]', '"PING"', '['.repeat(5000), '{}', '{"id":null}'],
    ...[
      '{"method":1}',
      '{"method":"reconnect"}',
      '{"id":null,"error":7}',
      '{"id":null,"result":7}',
    ],
    ...[
      '{"id":1,"result":7}',
      '{"id":1,"result":null}',
      '{"id":1,"error":7}',
      '{"id":1,"error":{}}',
    ],
    ...['{"id":1}', '{"id":1,"result":{"type":"x"}}', '{"id":1,"error":{"code":"x","message":7}}'],
    '{"id":1,"result":{"type":"data","data":"{"}}',
    Buffer.from('{"id":1}'),
    '{"id":1,"result":{"type":7}}',
  ])('should survive the message %j', async (message) => {
    const server = new WebSocketServer({ port: 0, host: '127.0.0.1' });
    await once(server, 'listening');
    server.on('connection', (socket) => {
      socket.on('message', (call: Buffer) => {
        const { id } = JSON.parse(call.toString()) as { readonly id: number };
        socket.send(message);
        // The call of the message may have been failed by it.
        socket.send(JSON.stringify({ id, result: { type: 'data', data: 1 } }));
      });
    });
    openConnection(`127.0.0.1:${(server.address() as AddressInfo).port}`);

    await requestPeer();
    expect(await requestPeer()).toEqual({ ok: true, value: 1 });
    // tRPC throws errors of its callbacks in a timer.
    await clock.sleepUntil(clock.now() + 5);
    expect(uncaught).toEqual([]);
    server.clients.forEach((socket) => socket.terminate());
    server.close();
  });

  it.each(
    [
      ...['', 'x', '\x16\x03\x01', 'HTTP/1.1 200 OK\r\n\r\n', 'HTTP/1.1 101 x\r\n\r\n'],
      ...[`${accept}x\r\n\r\n`, `${accept}x\r\n\r\n\x81\xff\xff`],
      ...['HTTP/1.1 302 x\r\nLocation: y\r\n\r\n', `HTTP/1.1 200 OK\r\nx: ${'a'.repeat(70_000)}`],
    ].flatMap((head) => [
      { head, isClosing: false },
      { head, isClosing: true },
    ]),
  )('should survive the handshake $head, closing meanwhile: $isClosing', async (handshake) => {
    const server: Server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        if (handshake.isClosing) connection.close();
        socket.write(handshake.head, 'latin1', () => socket.resetAndDestroy());
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    openConnection(`127.0.0.1:${(server.address() as AddressInfo).port}`);

    const { ok } = await requestPeer(maxHandshakeMs);
    await clock.sleepUntil(clock.now() + 5);

    expect({ ok, uncaught }).toEqual({ ok: false, uncaught: [] });
    server.close();
  });

  it.each(['', 'a b', '127.0.0.1:65536', '127.0.0.1:-1', '#'])(
    'should survive the address %j',
    async (address) => {
      openConnection(address);

      const { ok } = await requestPeer(maxHandshakeMs);

      expect({ ok, uncaught }).toEqual({ ok: false, uncaught: [] });
    },
  );
});
