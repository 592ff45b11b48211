import { createConnection, createServer } from 'node:net';
import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import * as z from 'zod';

import SystemClock from '../../src/adapters/system/SystemClock.ts';
import TrpcPeerConnection from '../../src/adapters/trpc/TrpcPeerConnection.ts';
import TrpcPeerServer from '../../src/adapters/trpc/TrpcPeerServer.ts';
import { procedure, router } from '../../src/adapters/trpc/trpcBase.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const peerKey = 'key';
const callMs = 150;
// The peer is busy and answers a handshake only after two calls have run into their deadline.
const handshakeMs = 400;
const clock = new SystemClock();
const log = new SilentLog();

describe('connection to a peer that is slow to accept it', () => {
  let server: TrpcPeerServer;
  let proxy: Server;
  let connection: TrpcPeerConnection;
  let acceptedCount: number;

  beforeEach(async () => {
    acceptedCount = 0;
    const input = procedure.input((value: unknown) => value);
    server = new TrpcPeerServer({
      router: router({ echo: input.mutation(({ input: value }) => value) }),
      ...{ peerKey, log },
    });
    await server.openListener({ ip: '127.0.0.1', port: 0 });
    proxy = createServer((socket) => {
      acceptedCount += 1;
      socket.on('error', () => undefined);
      socket.pause();
      sleep(handshakeMs)
        .then(() => {
          const { port } = server.address;
          const target = createConnection(port);
          target.on('error', () => undefined);
          socket.pipe(target).pipe(socket);
        })
        .catch(() => undefined);
    });
    proxy.listen(0, '127.0.0.1');
    await once(proxy, 'listening');
    connection = new TrpcPeerConnection({
      address: `127.0.0.1:${(proxy.address() as AddressInfo).port}`,
      ...{ peerKey, ownHost: 'h', clock, idleCloseMs: 3000, log },
    });
  });

  afterEach(async () => {
    connection.close();
    await server.closeListener();
    proxy.close();
  });

  // Guards against elections in which each ballot gives up the connections of the one before, so
  // that no vote ever reaches a busy host.
  it('should keep the connection that is opening when a call gets no answer in time', async () => {
    const request = () =>
      connection.requestPeer({
        ...{ path: 'echo', input: 1, output: z.literal(1) },
        deadline: clock.now() + callMs,
      });

    const outcomes = [await request(), await request(), await request(), await request()];

    expect(outcomes.map(({ ok }) => ok)).toEqual([false, false, true, true]);
    expect(acceptedCount).toBe(1);
  });
});
