import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import PlatformFleet, { maxStartMs, ports } from '../fixtures/PlatformFleet.ts';
import RawCaller from '../fixtures/RawCaller.ts';

const document = JSON.stringify({
  version: 1,
  ...{ routes: [], services: [{ name: 'kilns' }] },
  limits: {
    ...{ maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000 },
    ...{ headerTimeout: '3s', idleTimeout: '15s' },
  },
});
const refusedUpgrade =
  'GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n';

describe('processes that stop', () => {
  const fleet = new PlatformFleet({ controlHosts: 1, entryHosts: 1 });
  const [controlIp = ''] = fleet.controlIps;
  const [entryIp = ''] = fleet.entryIps;

  beforeAll(() => fleet.start(document), 2 * maxStartMs);

  afterAll(() => fleet.stop(), maxStartMs);

  // Guards against a stop that lasts as long as a stranger keeps a connection open, so that the
  // platform kills the process.
  it.each([
    ['an entry host', entryIp, ports.platform, ''],
    ['an entry host', entryIp, ports.metrics, 'GET /metr'],
    ['a control host', controlIp, ports.operators, ''],
    ['a control host', controlIp, ports.metrics, ''],
    ['a control host', controlIp, ports.peers, refusedUpgrade],
  ])(
    'should end by itself: %s (%s) with a connection to port %i that sent %j',
    async (_role, ip, port, text) => {
      const running = fleet.processes.get(ip);
      const stranger = await RawCaller.connectTo(`http://${ip}:${port}`);
      stranger.write(text);
      if (text === refusedUpgrade) await stranger.waitFor('401');

      expect(await running?.stop()).toBe(0);

      stranger.socket.destroy();
      await fleet.startProcess(ip);
      await fleet.waitListening(ip);
    },
    maxStartMs,
  );

  // Guards against a process that ends because its predecessor is still stopping, and against two
  // that write to one data folder.
  it.each([
    ['a control host', controlIp],
    ['an entry host', entryIp],
  ])(
    'should be followed by a process that starts before they have ended: %s (%s)',
    async (_role, ip) => {
      const predecessor = fleet.processes.get(ip);
      await fleet.startProcess(ip);
      const successor = fleet.processes.get(ip);
      await successor?.waitOutput('lifecycle: waiting for an address');

      expect(successor?.output).not.toContain('replication:');
      expect(await predecessor?.stop()).toBe(0);
      await fleet.waitListening(ip);
      expect(successor?.isRunning).toBe(true);
    },
    maxStartMs,
  );

  // Guards against a control host that refuses a change because it began to stop while it was
  // receiving it.
  it(
    'should accept a change that a control host is receiving when it begins to stop',
    async () => {
      const running = fleet.processes.get(controlIp);
      const caller = await RawCaller.connectTo(`http://${controlIp}:${ports.operators}`);
      const change = document.replace('"version":1', '"version":2');
      const head = `PUT /pistachiohoist/config HTTP/1.1\r\nhost: a\r\ncontent-length: ${change.length}`;
      caller.write(`${head}\r\n\r\n${change.slice(0, 20)}`);
      await fleet.waitStatus(() => fleet.put(controlIp, '/config', document), 200);

      const exited = running?.stop();
      await running?.waitOutput('lifecycle: stop requested');
      caller.write(change.slice(20));

      expect(await caller.waitClosed()).toMatch(/^HTTP\/1.1 200 /);
      expect(await exited).toBe(0);
    },
    maxStartMs,
  );
});
