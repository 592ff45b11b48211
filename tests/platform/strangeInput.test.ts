import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { fetch } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import PlatformFleet, { maxStartMs, ports } from '../fixtures/PlatformFleet.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';
import { createAnswers, strangeDatagrams, strangeRequests } from '../fixtures/strangeInput.ts';

// Long enough for most answers, so that the connection ends after the process has let go of it.
const answerMs = 100;
const connectionsAtOnce = 30;

const document = JSON.stringify({
  version: 1,
  routes: [
    { host: 'a.example', pathPrefix: '/look/', timeout: '1s', service: 'kilns', kind: 'safe' },
    { host: 'a.example', pathPrefix: '/book/', timeout: '1s', service: 'kilns', kind: 'unsafe' },
  ].map((route) => ({ ...route, maxAttempts: 2 })),
  services: [{ name: 'kilns' }],
  limits: {
    ...{ maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000 },
    ...{ headerTimeout: '3s', idleTimeout: '15s' },
  },
});

function writeInput(socket: Socket, bytes: Uint8Array): Promise<unknown> {
  return new Promise((resolve) => {
    socket.write(bytes, resolve);
  });
}

// Each ends a connection in its own way after some input.
const ends: readonly ((socket: Socket, bytes: Uint8Array) => Promise<unknown>)[] = [
  async (socket, bytes) => {
    await writeInput(socket, bytes);
    socket.resetAndDestroy();
  },
  async (socket, bytes) => {
    await writeInput(socket, bytes.subarray(0, bytes.byteLength / 2));
    socket.resetAndDestroy();
  },
  async (socket, bytes) => {
    await writeInput(socket, bytes);
    await Promise.race([sleep(answerMs), once(socket, 'data')]);
    socket.resetAndDestroy();
  },
  async (socket, bytes) => {
    socket.end(bytes);
    await sleep(answerMs);
  },
  async (socket, bytes) => {
    await writeInput(socket, bytes);
    await sleep(answerMs);
    await writeInput(socket, Buffer.from('\r\n\r\n\xff', 'latin1'));
  },
];

async function sendInput(
  address: { readonly host: string; readonly port: number },
  [end, bytes]: readonly [(typeof ends)[number], Uint8Array],
): Promise<void> {
  const socket = connect({ ...address, allowHalfOpen: true });
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  socket.on('error', () => undefined);
  await Promise.race([closed, end(socket, bytes).catch(() => undefined)]);
  socket.destroy();
}

describe('processes that get strange input', () => {
  const fleet = new PlatformFleet({ controlHosts: 1, entryHosts: 1 });
  const [control = ''] = fleet.controlIps;
  const [entry = ''] = fleet.entryIps;
  const inputs = strangeRequests.flatMap((text) =>
    ends.map((end) => [end, Buffer.from(text, 'latin1')] as const),
  );

  const asked = new Set<string>();
  // The path of a request names the answer, and how the connection goes on after it.
  const upstream = new RawUpstream(({ head, socket }) => {
    const [path = '', ending = 'end', index] = /\/look\/(\w+)\/(\d+)/.exec(head) ?? [];
    asked.add(path);
    const requestId = /x-attempt-id: (\S+)/i.exec(head)?.[1] ?? '';
    const bytes = createAnswers(requestId)[Number(index)] ?? '';
    socket.write(bytes, 'latin1', () => {
      if (ending !== 'waits') socket[ending as 'end' | 'resetAndDestroy']();
    });
  });

  beforeAll(async () => {
    await fleet.start(document);
    await fleet.announce('i-1', 'kilns', await upstream.open());
    const ready = () => fetch(`http://${entry}:${ports.platform}/ready`);
    await fleet.waitStatus(ready, 200);
  }, 2 * maxStartMs);

  afterAll(async () => {
    upstream.close();
    await fleet.stop();
  }, maxStartMs);

  function listEnded(): readonly string[] {
    return [...fleet.processes.values()]
      .filter(({ isRunning }) => !isRunning)
      .map(({ output }) => output.slice(-2000));
  }

  // Guards against a process that ends by an error on a connection that nothing listens to: of a
  // caller, a probe, a peer, or a stranger that reaches one of the ports.
  it.each([
    ...(['callers', 'platform', 'metrics'] as const).map((name) => [name, 'entry', entry] as const),
    ...(['operators', 'peers', 'metrics'] as const).map(
      (name) => [name, 'control', control] as const,
    ),
  ])(
    'should live on after it on the %s listener of the %s host',
    async (name, _, host) => {
      const address = { host, port: ports[name] };
      const waiting = [...inputs];
      const sendNext = async (): Promise<void> => {
        for (let input = waiting.pop(); input; input = waiting.pop()) {
          await sendInput(address, input);
        }
      };
      await Promise.all(Array.from({ length: connectionsAtOnce }, sendNext));

      expect(listEnded()).toEqual([]);
      const answer = await fetch(`http://${host}:${address.port}/metrics`);
      await answer.text();
      expect(answer.status).toBeGreaterThanOrEqual(200);
    },
    maxStartMs,
  );

  // Guards against the same for datagrams, which a host with the key of the fleet may send too.
  it.each([
    ['entry', entry],
    ['control', control],
  ])('should live on after datagrams to the %s host', async (_, host) => {
    const socket = createSocket('udp4');
    await Promise.all(
      strangeDatagrams.map(
        (bytes) =>
          new Promise((resolve) => {
            socket.send(bytes, ports.peers, host, resolve);
          }),
      ),
    );
    socket.close();
    const answer = await fetch(`http://${host}:${ports.metrics}/metrics`);

    expect(answer.status).toBe(200);
    expect(listEnded()).toEqual([]);
  });

  // Guards against a process that ends, or leaves its callers without an answer, because of what an
  // upstream answers.
  it.each(['end', 'resetAndDestroy', 'waits'])(
    'should answer callers when an upstream answers strangely, then: %s',
    async (ending) => {
      const waiting = [...createAnswers('').keys()];
      const statuses: number[] = [];
      const askNext = async (): Promise<void> => {
        for (let index = waiting.pop(); index !== undefined; index = waiting.pop()) {
          const id = `${ending}-${index}`;
          const path = `/look/${ending}/${index}`;
          statuses.push((await fleet.sendRequest(entry, 'GET', path, id)).status);
        }
      };
      await Promise.all(Array.from({ length: connectionsAtOnce }, askNext));

      expect([...asked].filter((path) => path.includes(ending))).toHaveLength(statuses.length);
      expect(listEnded()).toEqual([]);
    },
    maxStartMs,
  );

  it(
    'should stop as usual after it',
    async () => {
      const codes = [...fleet.processes.values()].map((running) => running.stop());

      expect(await Promise.all(codes)).toEqual([0, 0]);
      const outputs = [...fleet.processes.values()].map(({ output }) => output);
      outputs.forEach((output) => expect(output).toContain('"reason":"stop_requested"'));
    },
    maxStartMs,
  );
});
