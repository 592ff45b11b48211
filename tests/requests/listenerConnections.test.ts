import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import ListenerConnections from '../../src/adapters/http/ListenerConnections.ts';
import openServer from '../../src/adapters/http/openServer.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const call = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';

describe('connections of a listener', () => {
  let log: SilentLog;
  let connections: ListenerConnections;
  let server: ReturnType<typeof createServer>;
  let callers: RawCaller[];

  const connect = async (): Promise<RawCaller> => {
    const { port } = server.address() as AddressInfo;
    const caller = await RawCaller.connectTo(`http://127.0.0.1:${port}`);
    callers.push(caller);
    return caller;
  };
  const connectProven = async (): Promise<RawCaller> => {
    const caller = await connect();
    caller.write(call);
    await caller.waitFor('answer');
    return caller;
  };

  beforeEach(async () => {
    callers = [];
    log = new SilentLog();
    connections = new ListenerConnections({
      ...{ clock: new FakeClock(), log, listener: 'test', maxConnections: 3, maxUnproven: 2 },
    });
    server = createServer((_request, response) => response.end('answer'));
    connections.watchRequests(server);
    await openServer(server, { address: { ip: '127.0.0.1', port: 0 }, key: 'test', log });
  });

  afterEach(async () => {
    callers.forEach(({ socket }) => socket.destroy());
    await once(server.close(), 'close');
  });

  // Guards against strangers that connect and send nothing, and so keep out a host of the fleet.
  it('should close the oldest connection that has sent nothing', async () => {
    const proven = await connectProven();
    const oldest = await connect();
    const newer = await connect();
    const newest = await connectProven();

    await oldest.waitClosed();
    proven.write(call);
    await proven.waitFor('answer');

    expect([proven.isClosed, newer.isClosed, newest.isClosed]).toEqual([false, false, false]);
    expect([connections.openCount, connections.refusedCount]).toEqual([3, 1]);
  });

  // Guards against closing a connection whose request may be on its way.
  it('should close a new connection while all others have sent a request', async () => {
    const proven = [await connectProven(), await connectProven(), await connectProven()];

    await (await connect()).waitClosed();

    expect(proven.every(({ isClosed }) => !isClosed)).toBe(true);
  });

  // Guards against a log that strangers fill by connecting.
  it('should write one line for many connections that are closed at the same time', async () => {
    const strangers = await Promise.all(Array.from({ length: 20 }, () => connect()));
    await Promise.all(strangers.slice(0, 18).map((stranger) => stranger.waitClosed()));

    expect(connections.refusedCount).toBe(18);
    expect(log.messages.filter((message) => message.includes('was closed'))).toHaveLength(1);
  });
});
