import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import PlatformDialect from '../../platform/PlatformDialect.ts';
import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import type { EntryPath } from '../fixtures/createEntryPath.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';

const answer =
  'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-attempt-id: r1\r\nx-response-signature: s\r\n\r\nok';

describe('request to a starting host', () => {
  const heads: string[] = [];
  let clock: FakeClock;
  let upstream: RawUpstream;
  let path: EntryPath;

  beforeEach(() => {
    heads.length = 0;
    clock = new FakeClock();
    upstream = new RawUpstream(({ head, socket }) => {
      heads.push(head);
      socket.write(answer);
    });
  });

  afterEach(async () => {
    const closing = path.close();
    await clock.advanceBy(10_000);
    await closing;
    upstream.close();
  });

  /** Sends a request and lets time pass while it waits. */
  async function sendRequest(startMs: number, budgetMs = 4000) {
    let markWaiting: (deadline: number) => void = () => undefined;
    const waiting = new Promise<number>((resolve) => {
      markWaiting = resolve;
    });
    path = await createEntryPath({
      upstreams: [createUsable('a', await upstream.open())],
      dialect: new PlatformDialect(),
      ...{ startMs, clock, onWait: (deadline) => markWaiting(deadline) },
    });
    const caller = await RawCaller.connectTo(path.origin);
    caller.write(
      `GET /history/1 HTTP/1.1\r\nhost: a\r\nx-attempt-id: r1\r\nx-time-budget-ms: ${budgetMs}\r\nconnection: close\r\n\r\n`,
    );
    const waitMs = (await waiting) - clock.now();
    await clock.advanceBy(Math.min(startMs, waitMs));
    return { text: await caller.waitClosed(), waitMs };
  }

  // Guards against refusing requests that the host can serve moments later, when all processes were
  // killed and have restarted.
  it('should be served when the host becomes ready soon', async () => {
    expect((await sendRequest(300)).text).toMatch(/^HTTP\/1.1 200/);
  });

  it('should be forwarded with the time budget that remains after the wait', async () => {
    await sendRequest(300, 1500);

    expect(/x-time-budget-ms: (\d+)/i.exec(heads[0] ?? '')?.[1]).toBe('1200');
  });

  // The host lets a request wait for at most a quarter of its time budget.
  it('should be refused before its time budget expires when the budget is short', async () => {
    const { text, waitMs } = await sendRequest(60_000, 400);

    expect(text).toMatch(/^HTTP\/1.1 503/);
    expect(waitMs).toBe(100);
  });

  it('should be refused with a retry time when the host takes longer to become ready', async () => {
    const { text, waitMs } = await sendRequest(60_000);

    expect(text).toMatch(/^HTTP\/1.1 503/);
    expect(Number(/retry-after: ([\d.]+)/i.exec(text)?.[1])).toBeGreaterThanOrEqual(1);
    expect(waitMs).toBe(800);
    expect(heads).toEqual([]);
    expect(path.log.messages).toEqual(['requests: refused']);
  });
});
