import { afterEach, describe, expect, it } from 'vitest';

import BodyCollector from '../../src/adapters/http/BodyCollector.ts';
import ConnectionAccount from '../../src/domain/memory/ConnectionAccount.ts';
import { callerConnectionLimits } from '../../src/domain/memory/ConnectionLimits.ts';
import RequestsAhead from '../../src/domain/memory/RequestsAhead.ts';
import BufferBudget from '../../src/domain/requests/BufferBudget.ts';
import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import type { EntryPath } from '../fixtures/createEntryPath.ts';
import createPreset, { createRoute } from '../fixtures/createPreset.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';
import type { RawRequest } from '../fixtures/RawUpstream.ts';

function createRequest(index: number): string {
  return `GET /history/${index} HTTP/1.1\r\nhost: fleet\r\n\r\n`;
}

describe('requests that a caller sends ahead', () => {
  const requests: RawRequest[] = [];
  const upstream = new RawUpstream((request) => requests.push(request));
  let path: EntryPath | undefined;

  afterEach(async () => {
    upstream.close();
    await path?.close();
  });

  // Guards against answers in another order than the requests, and against a connection whose
  // requests are begun without bound.
  it('should be begun up to the limit and answered in their order', async () => {
    const preset = createPreset({ routes: [createRoute()] });
    const upstreams = [createUsable('a', await upstream.open())];
    path = await createEntryPath({ upstreams, preset });
    const { maxOpenRequests } = callerConnectionLimits;
    const count = 3 * maxOpenRequests;
    const caller = await RawCaller.connectTo(path.origin);
    caller.write(Array.from({ length: count }, (_, index) => createRequest(index)).join(''));

    let answered = 0;
    let mostOpen = 0;
    while (answered < count) {
      const first = answered;
      await expect.poll(() => requests.length).toBeGreaterThan(first);
      mostOpen = Math.max(mostOpen, requests.length - first);
      const { head = '', socket } = requests[first] ?? {};
      const body = /history\/(\d+)/.exec(head)?.[1]?.padStart(3, '0');
      socket?.write(`HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n${body}`);
      answered += 1;
    }
    await caller.waitFor(`\r\n\r\n${String(count - 1).padStart(3, '0')}`);

    const bodies = [...caller.received.matchAll(/\r\n\r\n(\d{3})/g)].map(([, body]) =>
      Number(body),
    );
    expect(bodies).toEqual(Array.from({ length: count }, (_, index) => index));
    // A slice that was begun below the limit is parsed to its end.
    expect(mostOpen).toBeLessThan(2 * maxOpenRequests);
  });
});

describe('ConnectionAccount', () => {
  const limits = { maxOpenRequests: 4, maxParsedRequests: 8, unreadMs: 1000 };
  const ahead = new RequestsAhead();

  // Guards against a crowd of connections that together fill the memory with requests sent ahead.
  it('should allow one request at a time while the memory of the host is scarce', () => {
    const budget = new BufferBudget({ maxBytes: 100_000 });
    const account = new ConnectionAccount({ limits, budget, ahead, onDrop: () => undefined });
    const others = budget.openBuffer();
    account.addRequest();
    const mayParse = [account.mayParse];
    others.addBytes(60_000);
    mayParse.push(account.mayParse);
    account.removeRequest();
    mayParse.push(account.mayParse);

    expect(mayParse).toEqual([true, false, true]);
  });

  // Guards against heads of many short fields, which cost many times their bytes.
  it('should drop the connection that holds most, at its real cost', () => {
    const budget = new BufferBudget({ maxBytes: 100_000 });
    const dropped: string[] = [];
    const [head, waiting] = ['head', 'waiting'].map(
      (name) => new ConnectionAccount({ limits, budget, ahead, onDrop: () => dropped.push(name) }),
    );
    waiting?.setInput(20_000, 0);
    head?.setInput(0, 6000);

    expect([dropped, budget.usedBytes]).toEqual([['head'], 20_000]);
  });
});

describe('BufferBudget with a clock', () => {
  // Guards against large answers in progress that give way to small buffers that stand still.
  it('should drop an old buffer without progress before a larger new one', () => {
    let now = 0;
    const budget = new BufferBudget({ maxBytes: 100, readNow: () => now });
    const dropped: string[] = [];
    const [old, fresh] = ['old', 'fresh'].map((name) => {
      const buffer = budget.openBuffer();
      buffer.setDropHandler(() => dropped.push(name));
      return buffer;
    });
    old?.addBytes(30);
    now = 5000;
    fresh?.addBytes(80);

    expect(dropped).toEqual(['old']);
  });
});

describe('BodyCollector', () => {
  // Guards against pieces of one byte, each of which costs a buffer and an object.
  it('should keep small pieces in few blocks and return them whole', () => {
    const collector = new BodyCollector();
    const text = Array.from({ length: 5000 }, (_, index) => String(index % 10)).join('');
    [...text].forEach((piece) => collector.addChunk(Buffer.from(piece)));
    collector.addChunk(Buffer.from(text));

    expect(collector.memoryBytes).toBeLessThan(4 * collector.size);
    expect(collector.takeBody().toString()).toBe(text + text);
  });
});
