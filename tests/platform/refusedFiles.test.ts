import { setTimeout as sleep } from 'node:timers/promises';

import { afterAll, beforeAll, expect, it } from 'vitest';

import PlatformFleet, { maxStartMs, pollMs, ports } from '../fixtures/PlatformFleet.ts';
import RawCaller from '../fixtures/RawCaller.ts';

// Some more than a control host has open when it is idle, and fewer than that and the connections
// that its listeners accept.
const maxDescriptors = 38;
const connections = 40;

const limits = {
  ...{ maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000 },
  ...{ headerTimeout: '10s', idleTimeout: '15s' },
};
const createDocument = (version: number): string =>
  JSON.stringify({ version, routes: [], services: [], limits });

const fleet = new PlatformFleet({
  ...{ controlHosts: 1, entryHosts: 0 },
  limits: `-n ${maxDescriptors}`,
});
const [ip = ''] = fleet.controlIps;

/** Repeats an action until the output of the host contains a text. */
async function waitOutput(text: string, repeat?: () => Promise<void>): Promise<void> {
  const deadline = Date.now() + maxStartMs;
  while (!fleet.processes.get(ip)?.output.includes(text)) {
    if (Date.now() >= deadline) throw new Error(`expected "${text}" in the output of ${ip}`);
    await repeat?.();
    await sleep(pollMs);
  }
}

beforeAll(() => fleet.start(createDocument(1)), 2 * maxStartMs);

afterAll(() => fleet.stop(), maxStartMs);

// Guards against a control host that ends because it lacks descriptors for a time.
it(
  'should accept a change once a control host can open its files again',
  async () => {
    const operator = await RawCaller.connectTo(`http://${ip}:${ports.operators}`);
    operator.write('GET /none HTTP/1.1\r\nhost: a\r\n\r\n');
    await operator.waitFor('404');
    const strangers: RawCaller[] = [];
    let version = 1;
    // A listener that has as many connections as it may have closes one for each that it accepts.
    // When it was the last to accept one, a descriptor is free, and the change is accepted.
    await waitOutput('replication: the disk refuses a call', async () => {
      const opened = [ports.operators, ports.peers, ports.metrics].flatMap((port) =>
        Array.from({ length: connections }, () => RawCaller.connectTo(`http://${ip}:${port}`)),
      );
      strangers.push(...(await Promise.all(opened)));
      version += 1;
      const body = createDocument(version);
      operator.write(
        `PUT /pistachiohoist/config HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
      );
    });
    strangers.forEach(({ socket }) => socket.destroy());
    await waitOutput('replication: the disk accepts the call again');

    await fleet.waitStatus(() => fleet.put(ip, '/config', createDocument(version + 1)), 200);
    expect(fleet.processes.get(ip)?.isRunning).toBe(true);
  },
  3 * maxStartMs,
);
