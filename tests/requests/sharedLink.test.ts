import { afterEach, expect, it } from 'vitest';

import createEntryPath, { createUsable } from '../fixtures/createEntryPath.ts';
import type { EntryPath } from '../fixtures/createEntryPath.ts';
import createPreset, { createRoute } from '../fixtures/createPreset.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';
import SharedLink from '../fixtures/SharedLink.ts';

const sizes = { large: 540_000, small: 1500 };
const upstream = new RawUpstream(({ head, socket }) => {
  const name = head.includes('/large') ? 'large' : 'small';
  socket.write(
    `HTTP/1.1 200 OK\r\ncontent-length: ${sizes[name]}\r\n\r\n${'x'.repeat(sizes[name] - 4)}last`,
  );
});
let path: EntryPath | undefined;
let link: SharedLink | undefined;

afterEach(async () => {
  link?.close();
  upstream.close();
  await path?.close();
});

// Guards against one large answer that keeps the others of its host from their callers for as long
// as the link needs for it, 1.7 s.
it('should deliver small answers before a large one that began earlier', async () => {
  const upstreams = [createUsable('a', await upstream.open())];
  path = await createEntryPath({ upstreams, preset: createPreset({ routes: [createRoute()] }) });
  link = await SharedLink.openTo(path.origin);
  const { origin } = link;
  const order: string[] = [];
  const send = async (name: string, caller: RawCaller, start = 'last'): Promise<void> => {
    caller.write(`GET /history/${name} HTTP/1.1\r\nhost: fleet\r\n\r\n`);
    await caller.waitFor(start);
    if (start === 'last') order.push(name);
  };
  const callers = await Promise.all(
    ['large', 'first', 'second', 'third'].map(async (name) => ({
      name,
      caller: await RawCaller.connectTo(origin),
    })),
  );
  const [large, ...others] = callers;
  if (!large) throw new Error('no caller');
  await send('large', large.caller, 'xxxx');
  const delivered = large.caller.waitFor('last').then(() => order.push('large'));
  await Promise.all(others.map(({ name, caller }) => send(name, caller)));
  await delivered;

  expect(order.at(-1)).toBe('large');
  expect(order).toHaveLength(4);
});
