import { fetch } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import PlatformFleet, { maxStartMs, ports } from '../fixtures/PlatformFleet.ts';
import RawCaller from '../fixtures/RawCaller.ts';

const maxDescriptors = 300;
const connections = maxDescriptors + 100;

function createDocument(version: number): string {
  return JSON.stringify({
    version,
    routes: [],
    services: [],
    limits: {
      ...{ maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000 },
      ...{ headerTimeout: '10s', idleTimeout: '15s' },
    },
  });
}

describe('processes whose listeners get more connections than they have descriptors', () => {
  const fleet = new PlatformFleet({
    ...{ controlHosts: 1, entryHosts: 1 },
    limits: `-n ${maxDescriptors}`,
  });
  const [control = ''] = fleet.controlIps;
  const [entry = ''] = fleet.entryIps;
  let version = 1;

  beforeAll(() => fleet.start(createDocument(version)), 2 * maxStartMs);

  afterAll(() => fleet.stop(), maxStartMs);

  // Guards against a process that ends, or stops answering, because strangers hold its descriptors.
  it.each([
    ['control', 'operators'],
    ['control', 'peers'],
    ['control', 'metrics'],
    ['entry', 'callers'],
    ['entry', 'platform'],
    ['entry', 'metrics'],
  ] as const)(
    'should go on while idle connections fill up the %s listener %s',
    async (role, listener) => {
      const ip = role === 'control' ? control : entry;
      const strangers = await Promise.all(
        Array.from({ length: connections }, () =>
          RawCaller.connectTo(`http://${ip}:${ports[listener]}`),
        ),
      );
      version += 1;
      await fleet.waitStatus(() => fleet.put(control, '/config', createDocument(version)), 200);
      const names =
        role === 'control' ? ['operators', 'peers', 'metrics'] : ['callers', 'platform'];
      await Promise.all(
        (names as (keyof typeof ports)[]).map((name) =>
          fleet.waitStatus(
            () => fetch(`http://${ip}:${ports[name]}/none`),
            name === 'peers' ? 426 : 404,
          ),
        ),
      );
      strangers.forEach(({ socket }) => socket.destroy());

      expect(fleet.processes.get(ip)?.isRunning).toBe(true);
    },
    2 * maxStartMs,
  );
});
