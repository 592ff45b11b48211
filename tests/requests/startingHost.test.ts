import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import PlatformDialect from '../../platform/PlatformDialect.ts';
import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import type { EntryPath } from '../fixtures/createEntryPath.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';

const answer =
  'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-attempt-id: r1\r\nx-response-signature: s\r\n\r\nok';

describe('request to a starting host', () => {
  const heads: string[] = [];
  let upstream: RawUpstream;
  let path: EntryPath;

  beforeEach(() => {
    heads.length = 0;
    upstream = new RawUpstream(({ head, socket }) => {
      heads.push(head);
      socket.write(answer);
    });
  });

  afterEach(async () => {
    await path.close();
    upstream.close();
  });

  async function sendRequest(startMs: number, budgetMs = 4000): Promise<string> {
    path = await createEntryPath({
      upstreams: [createUsable('a', await upstream.open())],
      dialect: new PlatformDialect(),
      startMs,
    });
    const caller = await RawCaller.connectTo(path.origin);
    caller.write(
      `GET /history/1 HTTP/1.1\r\nhost: a\r\nx-attempt-id: r1\r\nx-time-budget-ms: ${budgetMs}\r\nconnection: close\r\n\r\n`,
    );
    return caller.waitClosed();
  }

  // Guards against refusing requests that the host can serve moments later, when all processes were
  // killed and have restarted.
  it('should be served when the host becomes ready soon', async () => {
    expect(await sendRequest(300)).toMatch(/^HTTP\/1.1 200/);
  });

  it('should be forwarded with the time budget that remains after the wait', async () => {
    await sendRequest(300, 1500);

    const remainingMs = Number(/x-time-budget-ms: (\d+)/i.exec(heads[0] ?? '')?.[1]);
    // The host begins to start shortly before the request arrives, so the wait may be a little
    // shorter than 300 ms.
    expect(remainingMs).toBeLessThanOrEqual(1300);
    expect(remainingMs).toBeGreaterThan(0);
  });

  // The host lets a request wait for at most a quarter of its time budget.
  it('should be refused before its time budget expires when the budget is short', async () => {
    const startedAt = performance.now();
    const text = await sendRequest(60_000, 400);

    expect(text).toMatch(/^HTTP\/1.1 503/);
    expect(performance.now() - startedAt).toBeLessThan(400);
  });

  it('should be refused with a retry time when the host takes longer to become ready', async () => {
    const startedAt = performance.now();
    const text = await sendRequest(60_000);

    expect(text).toMatch(/^HTTP\/1.1 503/);
    expect(Number(/retry-after: ([\d.]+)/i.exec(text)?.[1])).toBeGreaterThanOrEqual(1);
    expect(performance.now() - startedAt).toBeGreaterThanOrEqual(790);
    expect(heads).toEqual([]);
    expect(path.log.messages).toEqual(['requests: refused']);
  });
});
