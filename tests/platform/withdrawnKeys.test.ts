import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import PlatformFleet, { maxStartMs, pollMs, ports } from '../fixtures/PlatformFleet.ts';

// Stated time after which a withdrawn key is refused by all hosts in contact with control hosts.
const maxWithdrawMs = 2000;
// Longer than a control host waits for changes before it answers a request for the feed.
const longFreezeMs = 1500;

function createDocument(version: number, apiKeys: readonly string[]): string {
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000 };
  const route = { host: 'a.example', timeout: '20s', service: 'kilns', kind: 'safe' };
  return JSON.stringify({
    version,
    routes: [{ ...route, pathPrefix: '/look/' }],
    services: [{ name: 'kilns' }],
    limits: { ...limits, headerTimeout: '3s', idleTimeout: '15s' },
    tenants: [{ name: 'depots', apiKeys, priority: 1, ratePerS: 0, burst: 0 }],
  });
}

describe('withdrawn keys of teams, in separate processes', () => {
  const fleet = new PlatformFleet({ controlHosts: 3, entryHosts: 2 });
  const { controlIps, entryIps } = fleet;
  const [frozenIp = '', otherIp = ''] = entryIps;
  const outdatedIp = controlIps[2] ?? '';
  const upstream = createServer((incoming, response) => {
    response.setHeader('x-attempt-id', incoming.headers['x-attempt-id'] ?? '');
    response.setHeader('x-response-signature', 'signed');
    response.end(incoming.headers['x-tenant-name'] ?? 'unnamed');
  });

  async function sendKey(ip: string, key: string): Promise<{ readonly status: number }> {
    const answer = await request(`http://${ip}:${ports.callers}/look/1`, {
      headers: {
        ...{ host: 'a.example', 'x-time-budget-ms': '20000', 'x-attempt-id': `${key}-${ip}` },
        'x-api-key': key,
      },
    });
    await answer.body.dump();
    return { status: answer.statusCode };
  }

  // A starting host refuses connections.
  const tryKey = (ip: string, key: string): Promise<number> =>
    sendKey(ip, key).then(
      ({ status }) => status,
      () => 0,
    );

  /** Sends a key again and again until it is refused; returns the other results. */
  async function listResults(ip: string, key: string, deadline: number): Promise<number[]> {
    const results: number[] = [];
    while (Date.now() < deadline) {
      const status = await tryKey(ip, key);
      if (status === 401) return results;
      results.push(status);
      await sleep(pollMs / 5);
    }
    return results;
  }

  const put = (version: number, keys: readonly string[]) =>
    fleet.waitStatus(
      () => fleet.put(controlIps[0] ?? '', '/config', createDocument(version, keys)),
      200,
    );

  async function serveKept(): Promise<void> {
    const { port } = upstream.address() as AddressInfo;
    await fleet.announce('i-1', 'kilns', `127.0.0.1:${port}`);
    await Promise.all(entryIps.map((ip) => fleet.waitStatus(() => sendKey(ip, 'kept'), 200)));
  }

  beforeAll(async () => {
    await new Promise<void>((resolve) => {
      upstream.listen(0, '127.0.0.1', resolve);
    });
    await fleet.start(createDocument(1, ['first', 'second', 'third', 'kept']));
    await serveKept();
  }, 2 * maxStartMs);

  afterAll(async () => {
    await fleet.stop();
    upstream.close();
    upstream.closeAllConnections();
  }, maxStartMs);

  it('should be refused by every host within the stated time', async () => {
    expect(await Promise.all(entryIps.map((ip) => tryKey(ip, 'first')))).toEqual([200, 200]);

    await put(2, ['second', 'third', 'kept']);
    const acceptedAt = Date.now();
    await Promise.all(entryIps.map((ip) => fleet.waitStatus(() => sendKey(ip, 'first'), 401)));

    expect(Date.now() - acceptedAt).toBeLessThan(maxWithdrawMs);
    expect(await Promise.all(entryIps.map((ip) => tryKey(ip, 'kept')))).toEqual([200, 200]);
  });

  // Guards against a host that handles the requests which arrived during its pause before it has
  // asked for the preset that it missed.
  it('should not be accepted by a host that was frozen when they were withdrawn', async () => {
    const frozen = fleet.processes.get(frozenIp);
    expect(await tryKey(frozenIp, 'second')).toBe(200);
    frozen?.freeze();
    await sleep(longFreezeMs);
    await put(3, ['third', 'kept']);
    await fleet.waitStatus(() => sendKey(otherIp, 'second'), 401);
    const sent = Array.from({ length: 20 }, (_, index) =>
      tryKey(frozenIp, index % 2 ? 'second' : 'kept'),
    );
    await sleep(pollMs);
    frozen?.resume();
    const results = await Promise.all(sent);

    expect(results.filter((_, index) => index % 2)).not.toContain(200);
    expect(results.filter((_, index) => index % 2 === 0)).toContain(200);
  });

  // The only control host that runs was frozen during the withdrawal and has the preset of before.
  // Guards against a restarted entry host that serves what it gets from such a control host.
  it(
    'should not be accepted by an entry host that restarts while control hosts are down',
    async () => {
      const outdated = fleet.processes.get(outdatedIp);
      outdated?.freeze();
      await put(4, ['kept']);
      await Promise.all(entryIps.map((ip) => fleet.waitStatus(() => sendKey(ip, 'third'), 401)));
      await Promise.all(
        [...controlIps.slice(0, 2), frozenIp].map((ip) => fleet.processes.get(ip)?.kill()),
      );
      outdated?.resume();
      await fleet.startProcess(frozenIp);
      await fleet.waitListening(frozenIp);
      const results = await listResults(frozenIp, 'third', Date.now() + 2 * maxWithdrawMs);

      expect(new Set(results)).toEqual(new Set([503]));
      expect(await tryKey(otherIp, 'third')).toBe(401);
    },
    maxStartMs,
  );

  // Guards against an outdated control host that leads, or is followed, after a restart.
  it(
    'should not be accepted after a restart of all processes',
    async () => {
      await Promise.all([...fleet.processes.values()].map((running) => running.kill()));
      await Promise.all([...controlIps, ...entryIps].map((ip) => fleet.startProcess(ip)));
      const results = await Promise.all(
        entryIps.map((ip) => listResults(ip, 'third', Date.now() + maxStartMs)),
      );

      expect(results.flat()).not.toContain(200);
      await serveKept();
      expect(await Promise.all(entryIps.map((ip) => tryKey(ip, 'third')))).toEqual([401, 401]);
    },
    2 * maxStartMs,
  );
});
