import { parseArgs } from 'node:util';

import type { Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';

import { startExampleFleet } from '../examples/fleet/startExampleFleet.ts';
import runOpenLoop, { createLatencies } from './runOpenLoop.ts';

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

function formatRow(name: string, histogram: Histogram): string {
  const cells = [50, 90, 99].map((percentile) =>
    (histogram.getValueAtPercentile(percentile) / 1000).toFixed(2).padStart(9),
  );
  return `${name.padEnd(16)}${cells.join('')}${String(histogram.totalCount).padStart(10)}\n`;
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
const load = {
  client,
  path: '/history/f-1',
  ratePerSecond: Number(values.rate),
  requests: Number(values.requests),
};

/** Latencies, failures and processor time of the rounds on one way. */
class Measurement {
  readonly latencies = createLatencies();

  failures = 0;

  readonly total = { entryMicroseconds: 0, clientMicroseconds: 0, upstreamMicroseconds: 0 };

  private readonly origin: string;

  constructor(address: string) {
    this.origin = `http://${address}`;
  }

  async runRound(): Promise<void> {
    const before = await readProcessorUse();
    const round = await runOpenLoop({ ...load, origin: this.origin });
    const after = await readProcessorUse();
    this.latencies.add(round.latencies);
    this.failures += round.failures;
    this.total.entryMicroseconds += after.entryMicroseconds - before.entryMicroseconds;
    this.total.clientMicroseconds += after.clientMicroseconds - before.clientMicroseconds;
    this.total.upstreamMicroseconds += after.upstreamMicroseconds - before.upstreamMicroseconds;
  }

  getPercentile(percentile: number): number {
    return this.latencies.getValueAtPercentile(percentile) / 1000;
  }
}

// Warm-up: compiles the hot paths and opens the connections.
await new Measurement(entry.callers).runRound();
await new Measurement(upstream.address).runRound();
const through = new Measurement(entry.callers);
const direct = new Measurement(upstream.address);
// The two loads take turns, so that other work on the machine hits both alike.
for (let round = 0; round < Number(values.rounds); round += 1) {
  await through.runRound();
  await direct.runRound();
}
const [addedMedian, addedHigh] = [50, 99].map((percentile) =>
  (through.getPercentile(percentile) - direct.getPercentile(percentile)).toFixed(2),
);
// The entry host's background work goes on while the load is direct.
const entryMicroseconds =
  (through.total.entryMicroseconds - direct.total.entryMicroseconds) / through.latencies.totalCount;
const [clientMicroseconds, upstreamMicroseconds] = [
  direct.total.clientMicroseconds / direct.latencies.totalCount,
  direct.total.upstreamMicroseconds / direct.latencies.totalCount,
];
const directMicroseconds = clientMicroseconds + upstreamMicroseconds;
process.stdout.write(
  `rate ${load.ratePerSecond}/s, ${values.rounds} rounds of ${load.requests} requests each way, ` +
    `${values.upstreams} upstreams\n` +
    `ms              ${['p50', 'p90', 'p99'].map((name) => name.padStart(9)).join('')}  requests\n` +
    formatRow('direct', direct.latencies) +
    formatRow('through fleet', through.latencies) +
    `added at p50 ${addedMedian} ms, at p99 ${addedHigh} ms; ` +
    `ratio at p50 ${(through.getPercentile(50) / direct.getPercentile(50)).toFixed(2)}; ` +
    `failures ${through.failures + direct.failures}\n` +
    `processor time a request: entry host ${entryMicroseconds.toFixed(0)} µs; direct exchange ` +
    `${directMicroseconds.toFixed(0)} µs (client ${clientMicroseconds.toFixed(0)} µs, ` +
    `upstream ${upstreamMicroseconds.toFixed(0)} µs); ` +
    `ratio ${(entryMicroseconds / directMicroseconds).toFixed(2)}\n`,
);
await client.close();
await fleet.stopAll();
