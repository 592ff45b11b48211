import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';

import type { Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';

import { startExampleFleet } from '../examples/fleet/startExampleFleet.ts';
import type { ExampleFleet } from '../examples/fleet/startExampleFleet.ts';
import runOpenLoop, { createTimeHistogram } from './runOpenLoop.ts';

const { values } = parseArgs({
  options: {
    rate: { type: 'string', default: '300' },
    rounds: { type: 'string', default: '10' },
    requests: { type: 'string', default: '300' },
    upstreams: { type: 'string', default: '1' },
    // Folder for a CPU profile of the entry host.
    profile: { type: 'string' },
    // Folder of another, built checkout, whose entry host is measured under the same load.
    against: { type: 'string' },
  },
});

interface ProcessorUse {
  /** Processor time of each entry host. */
  readonly entryMicroseconds: readonly number[];
  readonly clientMicroseconds: number;
  readonly upstreamMicroseconds: number;
}

async function readText(address: string, pathname: string): Promise<string> {
  const answer = await request(`http://${address}${pathname}`);
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

function formatAddedTime(name: string, target: Histogram, base: Histogram): string {
  const [median, high] = [50, 99].map((percentile) =>
    (readPercentile(target, percentile) - readPercentile(base, percentile)).toFixed(2),
  );
  return `${name.padEnd(40)} at p50 ${median} ms, at p99 ${high} ms\n`;
}

const sizes = {
  controlHosts: 1,
  entryHosts: 1,
  upstreams: Number(values.upstreams),
  latencyMs: 0,
  entryNodeArguments: values.profile ? ['--cpu-prof', `--cpu-prof-dir=${values.profile}`] : [],
};
const fleet = await startExampleFleet(sizes);
const fleets: ExampleFleet[] = [fleet];
if (values.against) {
  const module = path.resolve(values.against, 'examples/fleet/startExampleFleet.ts');
  const other = (await import(module)) as { startExampleFleet: typeof startExampleFleet };
  fleets.push(await other.startExampleFleet({ ...sizes, entryNodeArguments: [] }));
}
const entries = fleets.flatMap(({ hosts }) => hosts.entryHosts);
const [upstream] = fleet.upstreams;
if (!upstream) throw new Error('the fleet has no upstream');

async function readEntryMicroseconds({ platform }: { readonly platform: string }): Promise<number> {
  const metrics = await readText(platform, '/metrics');
  const seconds = /^process_cpu_seconds_total ([0-9.e+-]+)/m.exec(metrics)?.[1];
  return Number(seconds ?? Number.NaN) * 1e6;
}

async function readProcessorUse(control: string): Promise<ProcessorUse> {
  const upstreamUsage = await readText(control, '/processor');
  return {
    entryMicroseconds: await Promise.all(entries.map((entry) => readEntryMicroseconds(entry))),
    clientMicroseconds: sumUsage(process.cpuUsage()),
    upstreamMicroseconds: sumUsage(JSON.parse(upstreamUsage) as NodeJS.CpuUsage),
  };
}

const client = new Agent({ connections: 32, pipelining: 1 });
const [ratePerSecond, requests] = [Number(values.rate), Number(values.requests)];
// Consecutive requests go to the targets in turn, so that other work on the machine affects all
// targets equally. The second direct target is the control: its difference from the first is noise.
const addresses = [upstream.address, upstream.address, ...entries.map(({ callers }) => callers)];
const targetNames = ['direct', 'direct, control', 'through fleet', 'other checkout'];
const load = {
  client,
  origins: addresses.map((address) => `http://${address}`),
  path: '/history/f-1',
  ratePerSecond,
  requests,
};

// Warm-up, so that the hot paths are compiled and the connections are open.
await runOpenLoop(load);
const targetLatencies = addresses.map(() => createTimeHistogram());
const lateness = createTimeHistogram();
const entryTotals = entries.map(() => 0);
const total = { clientMicroseconds: 0, upstreamMicroseconds: 0 };
let failures = 0;
for (let round = 0; round < Number(values.rounds); round += 1) {
  const before = await readProcessorUse(upstream.control);
  const startedAt = performance.now();
  const measured = await runOpenLoop(load);
  const after = await readProcessorUse(upstream.control);
  // Background work of the entry hosts: their processor time over the same duration without load,
  // which is subtracted.
  await sleep(performance.now() - startedAt);
  const idle = await readProcessorUse(upstream.control);
  measured.latencies.forEach((latencies, target) => targetLatencies[target]?.add(latencies));
  lateness.add(measured.lateness);
  failures += measured.failures;
  entryTotals.forEach((sum, entry) => {
    const [start = 0, loaded = 0, end = 0] = [before, after, idle].map(
      ({ entryMicroseconds }) => entryMicroseconds[entry],
    );
    entryTotals[entry] = sum + (loaded - start) - (end - loaded);
  });
  total.clientMicroseconds += after.clientMicroseconds - before.clientMicroseconds;
  total.upstreamMicroseconds += after.upstreamMicroseconds - before.upstreamMicroseconds;
}
const requestsPerTarget = Number(values.rounds) * requests;
const upstreamTargets = addresses.length - fleets.length + 1;
const [clientMicroseconds, upstreamMicroseconds] = [
  total.clientMicroseconds / (requestsPerTarget * addresses.length),
  // The entry host of the other checkout sends its requests to another upstream.
  total.upstreamMicroseconds / (requestsPerTarget * upstreamTargets),
];
const directMicroseconds = clientMicroseconds + upstreamMicroseconds;
const [direct = createTimeHistogram(), control = createTimeHistogram(), ...throughFleets] =
  targetLatencies;
process.stdout.write(
  [
    `rate ${ratePerSecond}/s to each of ${targetLatencies.length} targets, ${values.rounds} rounds of ` +
      `${requests} requests to each, ${values.upstreams} upstreams\n`,
    `ms              ${['p50', 'p90', 'p99'].map((name) => name.padStart(9)).join('')}`,
    '  requests above p99\n',
    ...targetLatencies.map((target, index) => formatRow(targetNames[index] ?? '', target)),
    formatRow('sent late by', lateness),
    formatAddedTime('noise (control minus direct)', control, direct),
    ...throughFleets.map((target, index) =>
      formatAddedTime(`added (${targetNames[index + 2] ?? ''} minus direct)`, target, direct),
    ),
    `failures ${failures}\n`,
    `processor time per request: direct exchange ${directMicroseconds.toFixed(0)} µs ` +
      `(client ${clientMicroseconds.toFixed(0)} µs, upstream ${upstreamMicroseconds.toFixed(0)} µs)\n`,
    ...entryTotals.map((sum, index) => {
      const microseconds = sum / requestsPerTarget;
      return (
        `${targetNames[index + 2] ?? ''}: entry host ${microseconds.toFixed(0)} µs, ` +
        `ratio ${(microseconds / directMicroseconds).toFixed(2)}\n`
      );
    }),
  ].join(''),
);
await client.close();
await Promise.all(fleets.map((started) => started.stopAll()));
