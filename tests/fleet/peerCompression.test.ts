import { createServer, connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import SystemClock from '../../src/adapters/system/SystemClock.ts';
import TrpcPeerConnection from '../../src/adapters/trpc/TrpcPeerConnection.ts';
import TrpcPeerServer from '../../src/adapters/trpc/TrpcPeerServer.ts';
import TrpcReplicationLink from '../../src/adapters/trpc/TrpcReplicationLink.ts';
import createReplicationRouter from '../../src/adapters/trpc/createReplicationRouter.ts';
import { router } from '../../src/adapters/trpc/trpcBase.ts';
import type ReplicationHandler from '../../src/application/replication/ReplicationHandler.ts';
import type LogEntry from '../../src/domain/replication/LogEntry.ts';
import type { AppendRequest } from '../../src/ports/ReplicationLink.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const peerKey = 'a key for the tests of peers';

/** A preset document as large as that of a fleet with 450 routes. */
function createDocument(version: number): string {
  const routes = Array.from({ length: 450 }, (_, index) => ({
    prefix: `/workshop-${index}/kilns`,
    service: `service-${index % 7}`,
    maxAttempts: 2,
    timeoutMs: 3000 + index,
  }));
  return JSON.stringify({ version, idleMs: 10_000 + version, routes });
}

/** TCP proxy that counts the bytes between a peer and a listener in both directions. */
class ByteCountingProxy {
  bytes = 0;

  private readonly sockets: Socket[] = [];

  private readonly server = createServer((clientSocket) => {
    const serverSocket = connect(this.port, '127.0.0.1');
    this.sockets.push(clientSocket, serverSocket);
    const forward = (from: Socket, to: Socket): void => {
      from.on('data', (content) => {
        this.bytes += content.length;
        to.write(content);
      });
      from.on('close', () => to.destroy());
      from.on('error', () => to.destroy());
    };
    forward(clientSocket, serverSocket);
    forward(serverSocket, clientSocket);
  });

  private readonly port: number;

  constructor(port: number) {
    this.port = port;
  }

  async open(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }
}

describe('compression between control hosts', () => {
  const closers: (() => Promise<void>)[] = [];

  afterEach(async () => {
    for (const close of closers.splice(0).reverse()) await close();
  });

  async function openLink() {
    const received: AppendRequest[] = [];
    const handler = {
      handleAppend: async (request: AppendRequest) => {
        received.push(request);
        return { ok: true, value: { term: 1, isAccepted: true, index: request.previousIndex } };
      },
    } as unknown as ReplicationHandler;
    const server = new TrpcPeerServer({
      router: router({ replication: createReplicationRouter(handler) }),
      peerKey,
      log: new SilentLog(),
    });
    await server.openListener({ ip: '127.0.0.1', port: 0 });
    closers.push(() => server.closeListener());
    const proxy = new ByteCountingProxy(server.address.port);
    const address = await proxy.open();
    closers.push(() => proxy.close());
    const clock = new SystemClock();
    const connection = new TrpcPeerConnection({
      ...{ address, peerKey, ownHost: 'c1', clock, log: new SilentLog() },
      idleCloseMs: 3000,
      isCompressed: true,
    });
    closers.push(async () => connection.close());
    const link = new TrpcReplicationLink({ host: address, connection });
    const sendEntries = async (entries: readonly LogEntry[]): Promise<void> => {
      const answer = await link.sendEntries(
        {
          ...{ groupId: 'group-of-the-test', to: 'replica-2', from: 'replica-1', fromHost: 'c1' },
          ...{
            term: 1,
            previousIndex: 1,
            previousTerm: 1,
            entries,
            commitIndex: 1,
            quorumAgeMs: 0,
          },
        },
        clock.now() + 5000,
      );
      expect(answer.ok).toBe(true);
    };
    return { proxy, received, sendEntries };
  }

  // Guards against replication in which twelve changes of a large preset send as many bytes between
  // failure domains as all requests of a day.
  it('should send large presets in less than a tenth of their size', async () => {
    const { proxy, received, sendEntries } = await openLink();
    const documents = Array.from({ length: 12 }, (_, version) => createDocument(version));

    for (const [index, document] of documents.entries()) {
      const content = { kind: 'command' as const, command: document };
      await sendEntries([{ index: index + 2, term: 1, proposedAt: 1, content }]);
    }

    expect(received.map(({ entries }) => entries[0]?.content)).toEqual(
      documents.map((command) => ({ kind: 'command', command })),
    );
    expect(proxy.bytes).toBeLessThan(documents.join('').length / 10);
  });

  // In a simulated day without faults, which takes 44 seconds, all messages between failure domains
  // may take up 1 megabyte in total, and each host has three peers in other failure domains.
  it('should use less than 200 bytes for a heartbeat and its answer', async () => {
    const { proxy, sendEntries } = await openLink();
    await sendEntries([]);
    const before = proxy.bytes;

    for (let count = 0; count < 20; count += 1) await sendEntries([]);

    expect((proxy.bytes - before) / 20).toBeLessThan(200);
  });
});
