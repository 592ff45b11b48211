import { readFile, readdir } from 'node:fs/promises';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { fetch } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import PlatformFleet, { maxStartMs, ports } from '../fixtures/PlatformFleet.ts';
import RawCaller from '../fixtures/RawCaller.ts';
import RawUpstream from '../fixtures/RawUpstream.ts';
import crowds from '../fixtures/crowds.ts';
import type { Crowd } from '../fixtures/crowds.ts';

// The memory of the machines, of which the platform kills a process that uses more.
const maxMemoryBytes = { entry: 250_000_000, control: 346_000_000 };
const maxDescriptors = 2069;

type Role = keyof typeof maxMemoryBytes;
// Long enough for the host to read all that the clients send, and to run out of memory.
const crowdMs = 3000;
const largeAnswer = 'x'.repeat(540_000);

const document = JSON.stringify({
  version: 1,
  routes: ['sound', 'large'].map((service) => ({
    ...{ host: 'a.example', pathPrefix: `/${service}/`, timeout: '8s', service },
    ...{ kind: 'safe', maxAttempts: 1 },
  })),
  services: [{ name: 'sound' }, { name: 'large' }],
  limits: {
    ...{ maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864 },
    ...{ headerTimeout: '10s', idleTimeout: '15s' },
  },
});

describe('processes that a crowd of misbehaving clients meets', () => {
  const fleet = new PlatformFleet({
    ...{ controlHosts: 1, entryHosts: 1 },
    limits: `-n ${maxDescriptors}`,
  });
  const [control = ''] = fleet.controlIps;
  const [entry = ''] = fleet.entryIps;
  const answer = (socket: Socket, head: string, body: string): void => {
    const requestId = /x-attempt-id: (\S+)/i.exec(head)?.[1] ?? '';
    socket.write(
      `HTTP/1.1 200 OK\r\nx-attempt-id: ${requestId}\r\nx-response-signature: s\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
  };
  const upstreams = {
    sound: new RawUpstream(({ socket, head }) => answer(socket, head, 'answer')),
    large: new RawUpstream(({ socket, head }) => answer(socket, head, largeAnswer)),
  };
  // Each crowd goes to all listeners of a host at once.
  const targets = {
    entry: [
      { host: entry, port: ports.callers, path: '/sound/1' },
      { host: entry, port: ports.callers, path: '/none' },
      { host: entry, port: ports.platform, path: '/ready' },
      { host: entry, port: ports.metrics, path: '/metrics' },
    ],
    control: [
      { host: control, port: ports.operators, path: '/pistachiohoist/config' },
      { host: control, port: ports.operators, path: '/pistachiohoist/instances/i-1' },
      { host: control, port: ports.metrics, path: '/metrics' },
    ],
  } as const;

  let addresses: readonly string[] = [];
  let sequence = 0;

  beforeAll(async () => {
    await fleet.start(document);
    const opening = Object.values(upstreams).map(async (upstream) => upstream.open());
    addresses = await Promise.all(opening);
  }, 2 * maxStartMs);

  afterAll(async () => {
    await fleet.stop();
    Object.values(upstreams).forEach((upstream) => upstream.close());
  }, maxStartMs);

  async function sendParts(caller: RawCaller, { createParts, pauseMs }: Crowd, path: string) {
    for (const part of createParts(path)) {
      if (caller.isClosed) return;
      caller.write(part);
      if (pauseMs > 0) await sleep(pauseMs);
    }
  }

  async function openClients(crowd: Crowd, role: Role) {
    const opened = targets[role].map(async ({ host, port, path }) => {
      const origin = `http://${host}:${port}`;
      const clients = Array.from({ length: crowd.clients }, () => RawCaller.connectTo(origin));
      return (await Promise.all(clients)).map((caller) => ({ caller, path }));
    });
    const clients = (await Promise.all(opened)).flat();
    if (!crowd.isReading) clients.forEach(({ caller }) => caller.socket.pause());
    return clients;
  }

  async function expectSound(role: Role): Promise<void> {
    const running = fleet.processes.get(role === 'entry' ? entry : control);
    expect(running?.isRunning, running?.output.slice(-2000)).toBe(true);
    const descriptors = await readdir(`/proc/${running?.pid}/fd`);
    expect(descriptors.length).toBeLessThanOrEqual(maxDescriptors);
    const status = await readFile(`/proc/${running?.pid}/status`, 'utf8');
    const peakBytes = 1024 * Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]);
    process.stdout.write(`${role} host: peak of ${Math.round(peakBytes / 1e6)} MB\n`);
    expect(peakBytes).toBeLessThan(maxMemoryBytes[role]);
  }

  // An ordinary caller tries again after a refusal or a closed connection.
  async function waitServed(role: Role): Promise<void> {
    const call =
      role === 'entry'
        ? () => fleet.sendRequest(entry, 'GET', '/sound/0', 'after')
        : () => fetch(`http://${control}:${ports.operators}/pistachiohoist/config`);
    await fleet.waitStatus(call, 200);
  }

  async function announceAll(): Promise<void> {
    sequence += 1;
    const calls = Object.keys(upstreams).map(async (service, index) => {
      const announcement = {
        ...{ service, address: addresses[index], zone: 'north', version: 'v1', slots: 500 },
        ...{ state: 'ready', warmupLeft: '0ms', sequence, born: 1 },
      };
      const body = JSON.stringify(announcement);
      await fleet.waitStatus(() => fleet.put(control, `/instances/i-${service}`, body), 200);
    });
    await Promise.all(calls);
  }

  /** Starts a new process, whose peak of memory is its own. */
  async function replaceProcess(role: Role): Promise<void> {
    const host = role === 'entry' ? entry : control;
    await fleet.processes.get(host)?.kill();
    await fleet.startProcess(host);
    await announceAll();
    await fleet.waitStatus(() => fleet.sendRequest(entry, 'GET', '/sound/0', 'first'), 200);
    await waitServed(role);
  }

  // Guards against a process that ends, hangs, or takes more memory than its machine has, because
  // of clients that keep their connections open, send more than it answers, or read no answers.
  describe.each(Object.entries(crowds))('%s', (_, crowd) => {
    it.each(['entry', 'control'] as const)(
      'should be survived by the %s host',
      async (role) => {
        await replaceProcess(role);
        const clients = await openClients(crowd, role);
        const sending = clients.map(({ caller, path }) => sendParts(caller, crowd, path));
        await Promise.all([...sending, sleep(crowdMs)]);
        await expectSound(role);
        await waitServed(role);
        clients.forEach(({ caller }) => caller.socket.destroy());
      },
      2 * maxStartMs,
    );
  });
});
