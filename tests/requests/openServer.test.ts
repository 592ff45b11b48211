import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import openServer from '../../src/adapters/http/openServer.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import SilentLog from '../fixtures/SilentLog.ts';

describe('errors of an open listener', () => {
  let server: Server;
  let log: SilentLog;

  beforeEach(async () => {
    server = createServer();
    log = new SilentLog();
    await openServer(server, { address: { ip: '127.0.0.1', port: 0 }, key: 'listen.test', log });
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  // Guards against a process that ends because it has no descriptor left to accept a connection.
  it('should be logged when a connection can not be accepted', () => {
    server.emit('error', new Error('accept EMFILE'));

    expect(log.messages).toEqual(['lifecycle: a listener failed']);
  });

  // Guards against listeners that pile up on the server and each connection while a process waits
  // for its address.
  it('should be logged once when the address was in use at first', async () => {
    const { port } = server.address() as AddressInfo;
    const address = { ip: '127.0.0.1', port };
    const successor = createServer();
    const open = () => openServer(successor, { address, key: 'listen.test', log });
    await expect(open()).rejects.toThrow('in use');
    await expect(open()).rejects.toThrow('in use');
    server.close();
    await open();
    successor.emit('error', new Error('accept EMFILE'));
    successor.close();

    expect(log.messages).toEqual(['lifecycle: a listener failed']);
  });

  // Guards against a process that ends because a caller resets a connection that Node.js has handed
  // over with its request.
  it.each([
    ['upgrade', 'GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n'],
    ['connect', 'CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n'],
  ])('should be logged when a connection fails after the event %s', async (event, text) => {
    const handedOver = new Promise<Socket>((resolve) => {
      server.on(event, (_request, socket: Socket) => resolve(socket));
    });
    const { port } = server.address() as AddressInfo;
    const caller = await RawCaller.connectTo(`http://127.0.0.1:${port}`);
    caller.write(text);
    const socket = await handedOver;
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    caller.socket.resetAndDestroy();
    await closed;

    expect(log.messages).toEqual(['lifecycle: a connection failed']);
  });
});
