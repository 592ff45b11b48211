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
  },
});

async function readProcessorSeconds(platform: string): Promise<number> {
  const answer = await request(`http://${platform}/metrics`);
  const text = await answer.body.text();
  return Number(/^process_cpu_seconds_total ([0-9.e+-]+)/m.exec(text)?.[1] ?? Number.NaN);
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
  upstreams: 1,
  latencyMs: 0,
});
const [entry] = fleet.hosts.entryHosts;
const [upstream] = fleet.upstreams;
if (!entry || !upstream) throw new Error('the fleet has no entry host or no upstream');
const client = new Agent({ connections: 32, pipelining: 1 });
const direct = createLatencies();
const through = createLatencies();
const load = {
  client,
  path: '/history/f-1',
  ratePerSecond: Number(values.rate),
  requests: Number(values.requests),
};
let failures = 0;
// Warm-up: compiles the hot paths and opens the connections.
await runOpenLoop({ ...load, origin: `http://${entry.callers}` });
await runOpenLoop({ ...load, origin: `http://${upstream.address}` });
const processorBefore = await readProcessorSeconds(entry.platform);
// The two loads take turns, so that other work on the machine hits both alike.
for (let round = 0; round < Number(values.rounds); round += 1) {
  const throughRound = await runOpenLoop({ ...load, origin: `http://${entry.callers}` });
  const directRound = await runOpenLoop({ ...load, origin: `http://${upstream.address}` });
  through.add(throughRound.latencies);
  direct.add(directRound.latencies);
  failures += throughRound.failures + directRound.failures;
}
const processorSeconds = (await readProcessorSeconds(entry.platform)) - processorBefore;
const processorMicroseconds = (processorSeconds * 1e6) / through.totalCount;
const added = [50, 99].map(
  (percentile) =>
    (through.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile)) / 1000,
);
process.stdout.write(
  `rate ${load.ratePerSecond}/s, ${values.rounds} rounds of ${load.requests} requests each way\n` +
    `ms              ${['p50', 'p90', 'p99'].map((name) => name.padStart(9)).join('')}  requests\n` +
    formatRow('direct', direct) +
    formatRow('through fleet', through) +
    `added at p50 ${added[0]?.toFixed(2)} ms, at p99 ${added[1]?.toFixed(2)} ms; ` +
    `ratio at p50 ${(through.getValueAtPercentile(50) / direct.getValueAtPercentile(50)).toFixed(2)}; ` +
    `processor time of the entry host ${processorMicroseconds.toFixed(0)} µs a request; ` +
    `failures ${failures}\n`,
);
await client.close();
await fleet.stopAll();
