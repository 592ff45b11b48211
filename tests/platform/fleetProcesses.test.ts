import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { fetch } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import PlatformFleet, { maxStartMs, pollMs, ports } from '../fixtures/PlatformFleet.ts';

function createDocument(version: number): string {
  const route = { host: 'a.example', timeout: '20s', maxAttempts: 2, service: 'kilns' };
  return JSON.stringify({
    version,
    routes: [
      { ...route, pathPrefix: '/look/', kind: 'safe' },
      { ...route, pathPrefix: '/book/', kind: 'unsafe' },
    ],
    services: [{ name: 'kilns' }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeout: '3s',
      idleTimeout: '15s',
    },
  });
}

describe("fleet behind the platform's calls, in separate processes", () => {
  const fleet = new PlatformFleet({ controlHosts: 3, entryHosts: 2 });
  const { controlIps, entryIps } = fleet;
  const runs: string[] = [];
  const upstream = createServer((incoming, response) => {
    runs.push(`${incoming.method} ${incoming.url}`);
    if (incoming.url?.endsWith('/hang')) return;
    response.setHeader('x-attempt-id', incoming.headers['x-attempt-id'] ?? '');
    response.setHeader('x-response-signature', 'signed');
    response.end('answer');
  });

  beforeAll(async () => {
    await new Promise<void>((resolve) => {
      upstream.listen(0, '127.0.0.1', resolve);
    });
    await fleet.start(createDocument(1));
    const { port } = upstream.address() as AddressInfo;
    await fleet.announce('i-1', 'kilns', `127.0.0.1:${port}`);
    await Promise.all(
      entryIps.map((ip) =>
        fleet.waitStatus(() => fleet.sendRequest(ip, 'GET', '/look/first', `first-${ip}`), 200),
      ),
    );
  }, 2 * maxStartMs);

  afterAll(async () => {
    await fleet.stop();
    upstream.close();
    upstream.closeAllConnections();
  }, maxStartMs);

  it("should run a booking once and return the upstream's answer unchanged", async () => {
    const answer = await fleet.sendRequest(entryIps[0] ?? '', 'POST', '/book/1', 'booking');

    expect(answer.status).toBe(200);
    expect(answer.headers['x-response-signature']).toBe('signed');
    expect(answer.text).toBe('answer');
    expect(runs.filter((run) => run === 'POST /book/1')).toHaveLength(1);
  });

  it('should answer 404 to a path without a route', async () => {
    expect((await fleet.sendRequest(entryIps[0] ?? '', 'GET', '/none/1', 'none')).status).toBe(404);
  });

  // Guards against losing a change together with the control host that acknowledged it.
  it(
    'should keep an acknowledged configuration when the control host that acknowledged it is killed',
    async () => {
      await fleet.waitStatus(
        () => fleet.put(controlIps[2] ?? '', '/config', createDocument(2)),
        200,
      );

      await fleet.processes.get(controlIps[2] ?? '')?.kill();
      const read = () => fetch(`http://${controlIps[0]}:${ports.operators}/pistachiohoist/config`);
      await fleet.waitStatus(read, 200);

      expect(await (await read()).text()).toBe(createDocument(2));
    },
    maxStartMs,
  );

  it(
    'should report not ready while it stops, answer all requests in time, and exit with code 0',
    async () => {
      const ip = entryIps[1] ?? '';
      const ready = () => fetch(`http://${ip}:${ports.platform}/ready`);
      await fleet.waitStatus(ready, 200);

      const hanging = fleet.sendRequest(ip, 'POST', '/book/hang', 'hang');
      await sleep(pollMs);
      const stoppedAt = Date.now();
      const exitCode = fleet.processes.get(ip)?.stop();
      await fleet.waitStatus(ready, 503);
      const answer = await fleet.sendRequest(ip, 'GET', '/look/last', 'last');

      expect(answer.status).toBe(200);
      expect(answer.headers.connection).toBe('close');
      // The platform would kill the process 4 s after the signal; the request has 20 s.
      expect((await hanging).status).toBe(504);
      expect(await exitCode).toBe(0);
      expect(Date.now() - stoppedAt).toBeLessThan(15_000);
    },
    maxStartMs,
  );
});
