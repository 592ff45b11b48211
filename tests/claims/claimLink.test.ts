import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

import { v7 } from 'uuid';
import { afterEach, describe, expect, it } from 'vitest';
import { z } from 'zod';

import SystemClock from '../../src/adapters/system/SystemClock.ts';
import TrpcClaimLink from '../../src/adapters/trpc/TrpcClaimLink.ts';
import TrpcPeerConnection from '../../src/adapters/trpc/TrpcPeerConnection.ts';
import TrpcPeerServer from '../../src/adapters/trpc/TrpcPeerServer.ts';
import createClaimRouter from '../../src/adapters/trpc/createClaimRouter.ts';
import { router } from '../../src/adapters/trpc/trpcBase.ts';
import ClaimService from '../../src/application/claims/ClaimService.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import FakeControlGroup from '../fixtures/FakeControlGroup.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const peerKey = 'a peer key for tests';

async function findFreePort(): Promise<number> {
  const probe = createServer();
  await new Promise<void>((resolve) => {
    probe.listen(0, '127.0.0.1', resolve);
  });
  const { port } = probe.address() as AddressInfo;
  await new Promise((resolve) => {
    probe.close(resolve);
  });
  return port;
}

describe('TrpcClaimLink', () => {
  const closers: (() => unknown)[] = [];

  afterEach(async () => {
    await Promise.all(closers.splice(0).map((close) => close()));
  });

  async function connect(host: string) {
    const clock = new FakeClock();
    const group = new FakeControlGroup({ clock, hosts: ['control-1'], commitMs: 0 });
    const service = new ClaimService({ log: group.createLog(host), links: [] });
    const claims = createClaimRouter(service);
    const server = new TrpcPeerServer({
      router: router({ claims }),
      peerKey,
      log: new SilentLog(),
    });
    const port = await findFreePort();
    await server.openListener({ ip: '127.0.0.1', port });
    const systemClock = new SystemClock();
    const address = `127.0.0.1:${port}`;
    const options = {
      address,
      peerKey,
      ownHost: 'entry-1',
      clock: systemClock,
      log: new SilentLog(),
    };
    const connection = new TrpcPeerConnection(options);
    closers.push(() => server.closeListener());
    closers.push(() => connection.close());
    const deadline = systemClock.now() + 5000;
    return { clock, connection, link: new TrpcClaimLink({ host, connection }), deadline };
  }

  // Guards against messages that lose a field, a decision or the order of the decisions.
  it('should return the decisions on claims and completions in the order of the changes', async () => {
    const { clock, link, deadline } = await connect('control-1');
    const key = v7({ msecs: clock.now() });
    const fingerprint = 'a'.repeat(64);
    const answer = { status: 200, headers: [['etag', '"7"']], body: 'b2s=' } as const;
    const claim = { kind: 'claim', key, fingerprint, holder: 'entry-1/1' } as const;

    const decided = await link.sendBatch({
      changes: [
        { ...claim, attempt: 'a' },
        { ...claim, attempt: 'b' },
        { kind: 'complete', key, attempt: 'a', result: 'ran', answer },
        { ...claim, attempt: 'c' },
      ],
      deadline,
      mayForward: true,
    });

    expect(decided).toMatchObject({
      ok: true,
      value: [
        { kind: 'granted' },
        { kind: 'refused', failure: { kind: 'operation_in_progress' } },
        { kind: 'recorded' },
        { kind: 'replayed', answer },
      ],
    });
  });

  it('should return refusals and malformed messages as failures instead of throwing', async () => {
    const { connection, link, deadline } = await connect('control-2');
    const change = { kind: 'complete', key: 'k', attempt: 'a', result: 'unknown' } as const;
    const batch = { changes: [{ ...change, answer: undefined }], deadline, mayForward: false };
    expect(await link.sendBatch(batch)).toMatchObject({
      failure: { kind: 'not_leader', leader: 'control-1' },
    });

    const malformed = await connection.requestPeer({
      path: 'claims.decideBatch',
      input: { ...batch, changes: [{ ...change, result: 'maybe' }] },
      output: z.unknown(),
      deadline,
    });
    expect(malformed).toMatchObject({ value: { failure: { kind: 'message_invalid' } } });
  });
});
