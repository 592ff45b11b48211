import { afterEach, describe, expect, it } from 'vitest';

import PlatformDialect from '../../platform/PlatformDialect.ts';
import type UpstreamGate from '../../src/application/requests/UpstreamGate.ts';
import type { UpstreamAccess } from '../../src/domain/statements/UpstreamStatements.ts';
import UpstreamStatements from '../../src/domain/statements/UpstreamStatements.ts';
import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import type { EntryPath } from '../fixtures/createEntryPath.ts';
import createHandlerPath from '../fixtures/createHandlerPath.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';

const start = 1_800_000_000_000;

function createGate(access: UpstreamAccess, freeAt: readonly number[]): UpstreamGate {
  return {
    decideAccess: () => access,
    maySend: () => true,
    getFreeAt: ({ upstream }) => freeAt[Number(upstream.slice(1))] ?? Infinity,
    reportStatements: () => undefined,
  };
}

describe('requests to upstreams that take none', () => {
  // Guards against callers that wait until their deadline, and against callers that all come back
  // before the first upstream takes requests.
  it('should be refused at once as not run while all upstreams pause', async () => {
    const path = createHandlerPath({
      attempts: [],
      repeat: 'never',
      upstreams: 2,
      gate: createGate('paused', [start + 900, start + 600]),
    });

    const { answer, possibleRuns } = await path.runRequest(0);

    expect([answer.status, answer.outcome, answer.errorKind]).toEqual([
      503,
      'not-run',
      'upstreams_paused',
    ]);
    expect([answer.retryAt, possibleRuns]).toEqual([start + 600, 0]);
  });

  it('should be refused at once as not run while all upstreams are leaving', async () => {
    const path = createHandlerPath({
      attempts: [],
      repeat: 'allowed',
      upstreams: 2,
      gate: createGate('leaving', []),
    });

    const { answer } = await path.runRequest(0);

    expect([answer.status, answer.outcome, answer.errorKind]).toEqual([
      503,
      'not-run',
      'no_upstream',
    ]);
    expect(answer.retryAt).toBeLessThan(start + 2000);
  });

  // Guards against a request in the queue of a connection that is sent after the statement.
  it('should not be sent once the upstream has stated it while they waited', async () => {
    const path = createHandlerPath({
      attempts: [{ end: 'good', waitMs: 50, callerDisconnects: 'no' }],
      repeat: 'never',
      upstreams: 2,
      gate: { ...createGate('open', []), maySend: ({ upstream }) => upstream !== 'u0' },
    });

    const { answer, triedUpstreams, ran } = await path.runRequest();

    expect([answer.status, triedUpstreams, ran]).toEqual([200, ['u0', 'u1'], 1]);
  });
});

describe('statements of upstreams on the wire', () => {
  let path: EntryPath | undefined;
  let upstreams: readonly RawUpstream[] = [];

  afterEach(async () => {
    await path?.close();
    upstreams.forEach((upstream) => upstream.close());
  });

  /** Sends look-ups to two upstreams, the first of which answers with the given lines. */
  async function countRequests(statusLine: string, lines: string): Promise<readonly number[]> {
    const statements = new UpstreamStatements({
      failureDomain: 'north',
      failureDomains: 1,
      findFailureDomain: () => 'north',
    });
    const ok = 'x-response-signature: s\r\ncontent-length: 0\r\n\r\n';
    upstreams = [`${statusLine}\r\n${lines}`, 'HTTP/1.1 200 OK\r\n'].map(
      (head) =>
        new RawUpstream(({ head: request, socket }) => {
          const id = /x-attempt-id: (\S+)/i.exec(request)?.[1] ?? '';
          socket.write(`${head}x-attempt-id: ${id}\r\n${ok}`);
        }),
    );
    const addresses = await Promise.all(upstreams.map((upstream) => upstream.open()));
    path = await createEntryPath({
      upstreams: addresses.map((address, index) => createUsable(`u${index}`, address)),
      dialect: new PlatformDialect(),
      gate: {
        decideAccess: (upstream) => statements.decideAccess(upstream, Date.now()),
        maySend: (upstream) => statements.decideStanding(upstream, Date.now()) === 'open',
        getFreeAt: (upstream) => statements.getFreeAt(upstream),
        reportStatements: (upstream, { leaving, pausedUntil }) => {
          if (leaving.kind === 'stated') statements.recordLeaving(upstream);
          if (pausedUntil.kind === 'stated') statements.recordPause(upstream, pausedUntil.value);
        },
      },
    });
    const { origin } = path;
    const sendLookUp = async (id: string): Promise<void> => {
      const caller = await RawCaller.connectTo(origin);
      caller.write(
        `GET /history/1 HTTP/1.1\r\nhost: a\r\nx-attempt-id: ${id}\r\nconnection: close\r\n\r\n`,
      );
      await caller.waitClosed();
    };
    for (let index = 0; index < 24; index += 1) await sendLookUp(`r${index}`);
    return upstreams.map(({ requestIds }) => requestIds.length);
  }

  // An upstream that leaves may get requests for a few seconds only, and one that asks for a pause
  // two at most.
  it.each([
    ['that it is leaving', 'HTTP/1.1 200 OK', 'server-leaving: 1\r\n'],
    ['a pause', 'HTTP/1.1 503 Full', 'x-not-executed: 1\r\nretry-after: 30\r\n'],
  ])('should end requests to an upstream that states %s', async (_title, statusLine, lines) => {
    const [stated, other] = await countRequests(statusLine, lines);

    expect(stated).toBe(1);
    expect(other).toBeGreaterThanOrEqual(23);
  });
});
