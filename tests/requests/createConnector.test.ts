import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import createConnector from '../../src/adapters/http/createConnector.ts';
import stopProcess from '../fixtures/stopProcess.ts';

const timeoutMs = 100;

describe('connector to upstreams', () => {
  let server: Server;

  beforeEach(async () => {
    server = createServer((socket) => socket.destroy());
    await once(server.listen(0, '127.0.0.1'), 'listening');
  });

  afterEach(() => {
    server.close();
  });

  // Guards against upstreams that look unreachable because this process stood still.
  it('should use a connection that opened before the timeout while the process stood still', async () => {
    const { port } = server.address() as AddressInfo;
    const connect = createConnector(timeoutMs);
    const address = { hostname: '127.0.0.1', port: String(port), protocol: 'http:' };
    const connected = new Promise((resolve) => {
      connect(address, (...[error]) => resolve(error?.message ?? 'connected'));
    });
    // Node.js connects in the next tick.
    process.nextTick(() => stopProcess(3 * timeoutMs));

    expect(await connected).toBe('connected');
  });
});
