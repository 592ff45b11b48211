import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';

import type { Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';

import { startExampleFleet } from '../examples/fleet/startExampleFleet.ts';
import runOpenLoop, { createTimes } from './runOpenLoop.ts';

const { values } = parseArgs({
  options: {
    rate: { type: 'string', default: '300' },
    rounds: { type: 'string', default: '10' },
    requests: { type: 'string', default: '300' },
    upstreams: { type: 'string', default: '1' },
    // Folder for a processor profile of the entry host.
    profile: { type: 'string' },
  },
});

interface ProcessorUse {
  readonly entryMicroseconds: number;
  readonly clientMicroseconds: number;
  readonly upstreamMicroseconds: number;
}

async function readText(address: string, path: string): Promise<string> {
  const answer = await request(`http://${address}${path}`);
  return answer.body.text();
}

function sumUsage({ user, system }: NodeJS.CpuUsage): number {
  return user + system;
}

function readPercentile(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / 1000;
}

function formatRow(name: string, histogram: Histogram): string {
  const cells = [50, 90, 99].map((percentile) =>
    readPercentile(histogram, percentile).toFixed(2).padStart(9),
  );
  const { totalCount } = histogram;
  const counts = [totalCount, Math.floor(totalCount / 100)].map((count) =>
    String(count).padStart(10),
  );
  return `${name.padEnd(16)}${cells.join('')}${counts.join('')}\n`;
}

function formatAdded(name: string, way: Histogram, base: Histogram): string {
  const [median, high] = [50, 99].map((percentile) =>
    (readPercentile(way, percentile) - readPercentile(base, percentile)).toFixed(2),
  );
  return `${name.padEnd(40)} at p50 ${median} ms, at p99 ${high} ms\n`;
}

const fleet = await startExampleFleet({
  controlHosts: 1,
  entryHosts: 1,
  upstreams: Number(values.upstreams),
  latencyMs: 0,
  entryNodeArguments: values.profile ? ['--cpu-prof', `--cpu-prof-dir=${values.profile}`] : [],
});
const [entry] = fleet.hosts.entryHosts;
const [upstream] = fleet.upstreams;
if (!entry || !upstream) throw new Error('the fleet has no entry host or no upstream');

async function readProcessorUse(): Promise<ProcessorUse> {
  const metrics = await readText(entry?.platform ?? '', '/metrics');
  const entrySeconds = /^process_cpu_seconds_total ([0-9.e+-]+)/m.exec(metrics)?.[1];
  const upstreamUsage = await readText(upstream?.control ?? '', '/processor');
  return {
    entryMicroseconds: Number(entrySeconds ?? Number.NaN) * 1e6,
    clientMicroseconds: sumUsage(process.cpuUsage()),
    upstreamMicroseconds: sumUsage(JSON.parse(upstreamUsage) as NodeJS.CpuUsage),
  };
}

const client = new Agent({ connections: 32, pipelining: 1 });
const [ratePerSecond, requests] = [Number(values.rate), Number(values.requests)];
const directOrigin = `http://${upstream.address}`;
const load = {
  client,
  // The ways take turns request by request, so that other work on the machine hits them alike. The
  // second direct way is the control: what it differs from the first is noise of the machine.
  origins: [`http://${entry.callers}`, directOrigin, directOrigin],
  path: '/history/f-1',
  ratePerSecond,
  requests,
};

// Warm-up: compiles the hot paths and opens the connections.
await runOpenLoop(load);
const [through, direct, control] = [createTimes(), createTimes(), createTimes()];
const lateness = createTimes();
const total = { entryMicroseconds: 0, clientMicroseconds: 0, upstreamMicroseconds: 0 };
let failures = 0;
for (let round = 0; round < Number(values.rounds); round += 1) {
  const before = await readProcessorUse();
  const startedAt = performance.now();
  const measured = await runOpenLoop(load);
  const after = await readProcessorUse();
  // The entry host's background work is measured over the same time without load.
  await sleep(performance.now() - startedAt);
  const idle = await readProcessorUse();
  [through, direct, control].forEach((sum, way) => {
    const latencies = measured.latencies[way];
    if (latencies) sum.add(latencies);
  });
  lateness.add(measured.lateness);
  failures += measured.failures;
  total.entryMicroseconds +=
    2 * after.entryMicroseconds - before.entryMicroseconds - idle.entryMicroseconds;
  total.clientMicroseconds += after.clientMicroseconds - before.clientMicroseconds;
  total.upstreamMicroseconds += after.upstreamMicroseconds - before.upstreamMicroseconds;
}
const allRequests = through.totalCount + direct.totalCount + control.totalCount;
const entryMicroseconds = total.entryMicroseconds / through.totalCount;
const [clientMicroseconds, upstreamMicroseconds] = [
  total.clientMicroseconds / allRequests,
  total.upstreamMicroseconds / allRequests,
];
const directMicroseconds = clientMicroseconds + upstreamMicroseconds;
process.stdout.write(
  `rate ${ratePerSecond}/s on each of 3 ways, ${values.rounds} rounds of ${requests} requests ` +
    `on each, ${values.upstreams} upstreams\n` +
    `ms              ${['p50', 'p90', 'p99'].map((name) => name.padStart(9)).join('')}` +
    '  requests above p99\n' +
    formatRow('direct', direct) +
    formatRow('direct, control', control) +
    formatRow('through fleet', through) +
    formatRow('sent late by', lateness) +
    formatAdded('added (through fleet less direct)', through, direct) +
    formatAdded('noise (direct, control less direct)', control, direct) +
    `failures ${failures}\n` +
    `processor time a request: entry host ${entryMicroseconds.toFixed(0)} µs; direct exchange ` +
    `${directMicroseconds.toFixed(0)} µs (client ${clientMicroseconds.toFixed(0)} µs, ` +
    `upstream ${upstreamMicroseconds.toFixed(0)} µs); ` +
    `ratio ${(entryMicroseconds / directMicroseconds).toFixed(2)}\n`,
);
await client.close();
await fleet.stopAll();
