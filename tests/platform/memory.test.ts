import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { fetch } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import computeBudgetBytes from '../../src/domain/memory/computeBudgetBytes.ts';
import PlatformFleet, { maxStartMs, ports } from '../fixtures/PlatformFleet.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';

// What the platform gives a process; one that uses more is killed.
const maxMemoryMib = 250;
const statedBytes = 202_000_000;
const filler = Buffer.alloc(65_536, 'x');
const maxBodyBytes = 67_108_864;

function createDocument(): string {
  const route = { host: 'a.example', kind: 'safe', timeout: '8s', maxAttempts: 1 };
  return JSON.stringify({
    version: 1,
    routes: ['sound', 'endless', 'large'].map((service) => ({
      ...route,
      pathPrefix: `/${service}/`,
      service,
    })),
    services: [{ name: 'sound' }, { name: 'endless' }, { name: 'large' }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes, headerTimeout: '3s', idleTimeout: '15s' },
  });
}

describe.each([
  ['the default', undefined, maxMemoryMib],
  [`${statedBytes} bytes`, statedBytes, statedBytes / 1_048_576],
] as const)('memory of a process with %s', (...[, maxMemoryBytes, maxMib]) => {
  const fleet = new PlatformFleet({
    ...{ controlHosts: 1, entryHosts: 1 },
    ...(maxMemoryBytes && { maxMemoryBytes }),
  });
  const [ip = ''] = fleet.entryIps;
  const upstreams: RawUpstream[] = [];

  function writeHead(socket: Socket, head: string, fields: string): void {
    const requestId = /x-attempt-id: (\S+)/i.exec(head)?.[1] ?? '';
    const answerHead = `HTTP/1.1 200 OK\r\nx-attempt-id: ${requestId}\r\nx-response-signature: s\r\n`;
    socket.write(`${answerHead}${fields}\r\n\r\n`);
  }

  function writeEndless(socket: Socket, pauseMs: number): void {
    if (socket.destroyed) return;
    socket.write(filler, () => setTimeout(() => writeEndless(socket, pauseMs), pauseMs));
  }

  beforeAll(async () => {
    await fleet.start(createDocument());
    const answers: Readonly<Record<string, ConstructorParameters<typeof RawUpstream>[0]>> = {
      sound: ({ socket, head }) => {
        writeHead(socket, head, 'content-length: 6');
        socket.write('answer');
      },
      endless: ({ socket, head }) => {
        writeHead(socket, head, 'connection: close');
        // Slow enough that each answer stays open for seconds.
        writeEndless(socket, 50);
      },
      large: ({ socket, head }) => {
        writeHead(socket, head, 'content-length: 8000000');
        socket.write(Buffer.alloc(8_000_000, 'x'));
      },
    };
    await Promise.all(
      Object.entries(answers).map(async ([service, answer]) => {
        const upstream = new RawUpstream(answer);
        upstreams.push(upstream);
        await fleet.announce(`i-${service}`, service, await upstream.open());
      }),
    );
    await fleet.waitStatus(() => fleet.sendRequest(ip, 'GET', '/sound/0', 'first'), 200);
  }, 2 * maxStartMs);

  afterAll(async () => {
    await fleet.stop();
    upstreams.forEach((upstream) => upstream.close());
  }, maxStartMs);

  /** Sends requests one after the other; returns their statuses. */
  async function sendSound(count: number): Promise<readonly (number | string)[]> {
    const statuses: (number | string)[] = [];
    while (statuses.length < count) {
      const id = `sound-${statuses.length}`;
      const answer = fleet.sendRequest(ip, 'GET', '/sound/1', id);
      statuses.push(await answer.then(({ status }) => status, String));
      await sleep(100);
    }
    return statuses;
  }

  async function expectSound(): Promise<void> {
    expect(await sendSound(30)).toEqual(Array.from({ length: 30 }, () => 200));
    const peak = await fleet.readPeakMemory(ip);
    process.stdout.write(`peak memory of the entry host: ${Math.round(peak)} MiB\n`);
    expect(peak).toBeLessThan(maxMib);
  }

  // Guards against a budget that refuses what a single caller may send in calm: one body of nearly
  // all that the budget allows, with its answer.
  it('should serve a single large body', async () => {
    const body = Buffer.alloc(7 * Math.floor(computeBudgetBytes(maxMemoryBytes) / 8), 'x');
    const answer = await fleet.sendRequest(ip, 'POST', '/sound/1', 'single', body);

    expect(answer.status, answer.text).toBe(200);
  });

  // Guards against an upstream whose answers without end use up the memory, so that the requests of
  // other callers end with the process.
  it(
    'should stay within its limit while many answers have no end',
    async () => {
      const requests = Array.from({ length: 100 }, (_, index) =>
        fleet.sendRequest(ip, 'GET', '/endless/1', `endless-${index}`).catch(String),
      );
      await expectSound();
      await Promise.all(requests);
    },
    maxStartMs,
  );

  it(
    'should stay within its limit while callers send large bodies',
    async () => {
      const body = Buffer.alloc(20_000_000, 'x');
      const requests = Array.from({ length: 20 }, (_, index) =>
        fleet.sendRequest(ip, 'POST', '/endless/1', `body-${index}`, body).catch(String),
      );
      await expectSound();
      await Promise.all(requests);
    },
    maxStartMs,
  );

  it(
    'should stay within its limit while callers do not read large answers',
    async () => {
      const callers = await Promise.all(
        Array.from({ length: 40 }, () => RawCaller.connectTo(`http://${ip}:${ports.callers}`)),
      );
      callers.forEach((caller, index) => {
        caller.socket.pause();
        caller.write(`GET /large/1 HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: l${index}\r\n\r\n`);
      });
      await expectSound();
      callers.forEach(({ socket }) => socket.destroy());
    },
    maxStartMs,
  );

  // Guards against callers of a control host that together take up its memory.
  it(
    'should stay within its limit, at a control host, while many documents are incomplete',
    async () => {
      const [controlIp = ''] = fleet.controlIps;
      const origin = `http://${controlIp}:${ports.operators}`;
      const callers = await Promise.all(
        Array.from({ length: 200 }, () => RawCaller.connectTo(origin)),
      );
      callers.forEach((caller, index) => {
        const path = index % 2 === 0 ? 'config' : 'instances/i-1';
        caller.write(
          `PUT /pistachiohoist/${path} HTTP/1.1\r\nhost: a\r\ncontent-length: 2000000\r\n\r\n`,
        );
        caller.socket.write(Buffer.alloc(1_900_000, '{'));
      });
      await sleep(2000);
      const read = await fetch(`${origin}/pistachiohoist/config`);

      expect(read.status).toBe(200);
      const peak = await fleet.readPeakMemory(controlIp);
      process.stdout.write(`peak memory of the control host: ${Math.round(peak)} MiB\n`);
      expect(peak).toBeLessThan(maxMib);
      callers.forEach(({ socket }) => socket.destroy());
    },
    maxStartMs,
  );
});
