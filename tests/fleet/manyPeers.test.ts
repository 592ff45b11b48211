import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import ListenerConnections from '../../src/adapters/http/ListenerConnections.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';
import TrpcPeerServer from '../../src/adapters/trpc/TrpcPeerServer.ts';
import { router } from '../../src/adapters/trpc/trpcBase.ts';
import { splitControlDescriptors } from '../../src/domain/settings/splitDescriptors.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const hosts = 292;
const maxDescriptors = 4096;
const peerKey = 'key';
const handshake = [
  'GET / HTTP/1.1',
  'host: a',
  'connection: Upgrade',
  'upgrade: websocket',
  'sec-websocket-version: 13',
  'sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==',
  `authorization: Bearer ${peerKey}`,
  '\r\n',
].join('\r\n');

describe('peers listener of a control host in a large fleet', () => {
  let server: TrpcPeerServer;
  let connections: ListenerConnections;
  let peers: RawCaller[];

  beforeEach(async () => {
    const log = new SilentLog();
    const { peers: maxConnections, unprovenPeers } = splitControlDescriptors(maxDescriptors);
    connections = new ListenerConnections({
      ...{ clock: new SystemClock(), log, listener: 'peers', maxConnections },
      maxUnproven: unprovenPeers,
    });
    server = new TrpcPeerServer({
      ...{ router: router({}), peerKey, log, listenerConnections: connections },
    });
    await server.openListener({ ip: '127.0.0.1', port: 0 });
  });

  afterEach(async () => {
    peers.forEach(({ socket }) => socket.destroy());
    await server.closeListener();
  });

  // Guards against a control host that closes the connections of its own fleet, whose hosts are all
  // starting and show the peer key late.
  it('should accept all hosts of the fleet that connect before any of them shows the key', async () => {
    const origin = `http://127.0.0.1:${server.address.port}`;
    peers = await Promise.all(
      Array.from({ length: hosts }, async () => RawCaller.connectTo(origin)),
    );
    while (connections.acceptedCount < hosts) await sleep(1);
    peers.forEach((peer) => peer.write(handshake));
    await Promise.all(peers.map((peer) => Promise.race([peer.waitFor('101'), peer.waitClosed()])));

    expect(connections.refusedCount).toBe(0);
    expect(peers.filter(({ isClosed }) => isClosed)).toHaveLength(0);
  });
});
