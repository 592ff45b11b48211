import { setImmediate } from 'node:timers/promises';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import createGossipRouter from '../../src/adapters/trpc/createGossipRouter.ts';
import createPresetRouter from '../../src/adapters/trpc/createPresetRouter.ts';
import TrpcGossipLink from '../../src/adapters/trpc/TrpcGossipLink.ts';
import TrpcPeerDialer from '../../src/adapters/trpc/TrpcPeerDialer.ts';
import TrpcPeerServer from '../../src/adapters/trpc/TrpcPeerServer.ts';
import TrpcPresetLink from '../../src/adapters/trpc/TrpcPresetLink.ts';
import { router } from '../../src/adapters/trpc/trpcBase.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';
import type { GossipMessage } from '../../src/ports/GossipLink.ts';
import { FakePresetGroup, createState } from '../fixtures/FakeFleet.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import SilentLog from '../fixtures/SilentLog.ts';
import stopProcess from '../fixtures/stopProcess.ts';

const peerKey = 'key-of-all-peers-1';

describe('peer procedures', () => {
  const clock = new SystemClock();
  const control = new FakePresetGroup(new FakeClock());
  const dialers: TrpcPeerDialer[] = [];
  let received: GossipMessage[];
  let server: TrpcPeerServer;
  let address: string;

  beforeEach(async () => {
    received = [];
    control.applied.set('c2', createState(7));
    const handleExchange = (message: GossipMessage): GossipMessage => {
      received.push(message);
      return { digests: { hosts: { e1: [1, 2] } }, records: {} };
    };
    server = new TrpcPeerServer({
      peerKey,
      log: new SilentLog(),
      router: router({
        gossip: createGossipRouter({ gossip: { handleExchange } }),
        presets: createPresetRouter({
          clock,
          source: control.createSource('c2'),
          forwarding: control.createSource('c1'),
        }),
      }),
    });
    await server.openListener({ ip: '127.0.0.1', port: 0 });
    address = `127.0.0.1:${server.address.port}`;
  });

  afterEach(async () => {
    dialers.splice(0).forEach((dialer) => dialer.close());
    await server.closeListener();
  });

  const createDialer = (key: string): TrpcPeerDialer => {
    dialers.push(new TrpcPeerDialer({ peerKey: key, ownHost: 'e1', clock, log: new SilentLog() }));
    return dialers[dialers.length - 1] as TrpcPeerDialer;
  };
  const openGossip = (key: string): TrpcGossipLink =>
    createDialer(key)
      .createDialer((shared) => new TrpcGossipLink(shared))
      .openLink({ host: 'c2', address });

  it('should carry gossip and presets over one connection', async () => {
    const dialer = createDialer(peerKey);
    const peer = { host: 'c2', address };
    const gossip = dialer.createDialer((shared) => new TrpcGossipLink(shared)).openLink(peer);
    const presets = dialer.createDialer((shared) => new TrpcPresetLink(shared)).openLink(peer);
    const message = { digests: { hosts: {} }, records: { upstreams: [{ odd: true }] } };
    const newer = { ...message.digests, later: { record: [1] } };

    const answer = await gossip.exchangeRecords({ ...message, digests: newer }, clock.now() + 5000);
    gossip.close();

    expect(answer).toEqual({
      ok: true,
      value: { digests: { hosts: { e1: [1, 2] } }, records: {} },
    });
    expect(received).toEqual([message]);
    const deadline = clock.now() + 5000;
    expect(await presets.watchState(6, deadline)).toEqual({ ok: true, value: createState(7) });
    expect(await presets.watchState(7, clock.now())).toEqual({ ok: true, value: undefined });
    expect(await presets.confirmState(deadline, 'entry')).toMatchObject({ ok: true });
    expect(await presets.confirmState(deadline, 'control')).toMatchObject({
      ok: false,
      failure: { kind: 'not_leader', leader: 'c1' },
    });
    presets.close();
  });

  // Guards against failing calls, and closing connections, whose answers have arrived and were not
  // read, because the process stood still until the deadline.
  it('should take an answer that arrives before the deadline while the process stands still', async () => {
    const gossip = openGossip(peerKey);
    const message = { digests: { hosts: {} }, records: {} };
    await gossip.exchangeRecords(message, clock.now() + 5000);

    const answer = gossip.exchangeRecords(message, clock.now() + 1000);
    while (received.length < 2) await setImmediate();
    // The host has written its answer.
    stopProcess(1500);

    expect(await answer).toMatchObject({ ok: true });
    gossip.close();
  });

  // Guards against a host without the key that reads or changes the directory.
  it('should reject a call with the key of another fleet', async () => {
    const link = openGossip('key-of-another-fleet');

    const answer = await link.exchangeRecords({ digests: {}, records: {} }, clock.now() + 300);

    expect(answer).toMatchObject({ ok: false, failure: { kind: 'peer_unreachable' } });
    expect(received).toEqual([]);
    link.close();
  });

  // Guards against a malformed message that closes the connection or terminates the process.
  it.each([[null], [{ digests: 3 }], [{ digests: { hosts: { a: ['x'] } }, records: {} }]])(
    'should answer the malformed message %j with message_invalid',
    async (malformed) => {
      const answer = await openGossip(peerKey).exchangeRecords(
        malformed as never,
        clock.now() + 5000,
      );

      expect(answer).toMatchObject({ ok: false, failure: { kind: 'message_invalid' } });
      expect(received).toEqual([]);
    },
  );

  // Guards against a shutdown that waits for the deadline of a long poll.
  it('should fail a long poll when its link is closed', async () => {
    const presets = createDialer(peerKey)
      .createDialer((shared) => new TrpcPresetLink(shared))
      .openLink({ host: 'c2', address });
    const watched = presets.watchState(7, clock.now() + 60_000);

    presets.close();

    expect(await watched).toMatchObject({ ok: false, failure: { kind: 'peer_unreachable' } });
  });
});
