import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';

import ConnectionPacing from '../src/adapters/http/ConnectionPacing.ts';
import PacedServer from '../src/adapters/http/PacedServer.ts';
import createHttpServer from '../src/adapters/http/createHttpServer.ts';
import openServer from '../src/adapters/http/openServer.ts';
import readBody from '../src/adapters/http/readBody.ts';
import SystemClock from '../src/adapters/system/SystemClock.ts';
import createEntryPath, { createUsable } from '../tests/fixtures/createEntryPath.ts';
import createPreset, { createRoute } from '../tests/fixtures/createPreset.ts';
import RawCaller from '../tests/fixtures/RawCaller.ts';
import RawUpstream from '../tests/fixtures/RawUpstream.ts';
import SilentLog from '../tests/fixtures/SilentLog.ts';

// Processor time of an entry path for each request, with and without the layer between socket and
// parser. Each case runs on both in turn.
const { values } = parseArgs({
  options: {
    rounds: { type: 'string', default: '3' },
    requests: { type: 'string', default: '3000' },
    connections: { type: 'string', default: '8' },
    // Set in the processes that this program starts: the address of the upstream.
    upstream: { type: 'string' },
    layer: { type: 'string', default: 'on' },
    // Measures a server that only reads the body and answers.
    bare: { type: 'boolean', default: false },
  },
});

const answer = `HTTP/1.1 200 OK\r\ncontent-length: 1500\r\n\r\n${'x'.repeat(1500)}`;
const body = 'b'.repeat(4096);
const cases = {
  'GET, kept connection': { isKept: true, method: 'GET', path: '/history/f-1' },
  'GET, new connection': { isKept: false, method: 'GET', path: '/history/f-1' },
  'POST of 4 KB, kept connection': { isKept: true, method: 'POST', path: '/filters' },
} as const;
type Case = (typeof cases)[keyof typeof cases];

async function openBare(): Promise<string> {
  const clock = new SystemClock();
  const { server } = createHttpServer({
    ...{ clock, log: new SilentLog(), server: {}, failureMessage: 'bench' },
    serve: async (request, response) => {
      await readBody(request, { maxBytes: 65_536, deadline: clock.now() + 10_000, clock });
      response.end('x'.repeat(1500));
    },
  });
  const address = { ip: '127.0.0.1', port: 0 };
  await openServer(server, { address, key: 'bench', log: new SilentLog() });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function openEntry(address: string): Promise<string> {
  const { origin } = await createEntryPath({
    upstreams: [createUsable('a', address)],
    preset: createPreset({
      routes: [createRoute(), createRoute({ method: 'POST', path: '/filters' })],
    }),
  });
  return origin;
}

async function runEntry(address: string): Promise<void> {
  if (values.layer === 'off') {
    PacedServer.prototype.emit = Server.prototype.emit;
    ConnectionPacing.prototype.watchServer = () => undefined;
  }
  const origin = values.bare ? await openBare() : await openEntry(address);
  process.on('message', () => process.send?.(process.cpuUsage()));
  process.send?.(origin);
}

async function readMicroseconds(child: ChildProcess): Promise<number> {
  child.send('usage');
  const [{ user, system }] = (await once(child, 'message')) as [NodeJS.CpuUsage];
  return user + system;
}

async function sendRequests(origin: string, count: number, { isKept, ...sent }: Case) {
  const request = `${sent.method} ${sent.path} HTTP/1.1\r\nhost: fleet\r\npistachiohoist-key: k\r\n${
    sent.method === 'POST' ? `content-length: ${body.length}\r\n\r\n${body}` : '\r\n'
  }`;
  let caller = await RawCaller.connectTo(origin);
  for (let index = 0; index < count; index += 1) {
    if (!isKept && index > 0) {
      caller.socket.destroy();
      caller = await RawCaller.connectTo(origin);
    }
    caller.received = '';
    caller.write(request);
    while (!caller.received.endsWith('x'.repeat(1500))) await once(caller.socket, 'data');
    if (!caller.received.startsWith('HTTP/1.1 200')) throw new Error(caller.received);
  }
  caller.socket.destroy();
}

async function runBench(): Promise<void> {
  const upstream = new RawUpstream(({ socket }) => socket.write(answer));
  const address = await upstream.open();
  const connections = Number(values.connections);
  const requests = Number(values.requests);
  const hosts = await Promise.all(
    ['off', 'on'].map(async (layer) => {
      const child = fork(fileURLToPath(import.meta.url), [
        `--upstream=${address}`,
        `--layer=${layer}`,
        ...(values.bare ? ['--bare'] : []),
      ]);
      const [origin] = (await once(child, 'message')) as [string];
      return { layer, child, origin };
    }),
  );
  for (const [name, sent] of Object.entries(cases)) {
    // The first round is a warm-up.
    for (let round = 0; round <= Number(values.rounds); round += 1) {
      for (const { layer, child, origin } of hosts) {
        const before = await readMicroseconds(child);
        const startedAt = performance.now();
        const share = Math.ceil(requests / connections);
        await Promise.all(
          Array.from({ length: connections }, () => sendRequests(origin, share, sent)),
        );
        const seconds = (performance.now() - startedAt) / 1000;
        const used = (await readMicroseconds(child)) - before;
        const count = share * connections;
        process.stdout.write(
          `${name}, ${round === 0 ? 'warm-up' : `round ${round}`}, layer ${layer}: ` +
            `${(count / seconds).toFixed(0)} requests/s, ${(used / count).toFixed(0)} µs each\n`,
        );
      }
    }
  }
  hosts.forEach(({ child }) => child.kill());
  upstream.close();
}

await (values.upstream ? runEntry(values.upstream) : runBench());
