// Compares balancers, and runs with and without a retry budget, in simulated time. Usage:
// `npx tsx bench/slots.ts [SEED]`.
import type Balancer from '../src/domain/requests/Balancer.ts';
import RandomBalancer from '../src/domain/requests/RandomBalancer.ts';
import SlotBalancer from '../src/domain/requests/SlotBalancer.ts';
import TwoChoicesBalancer from '../src/domain/requests/TwoChoicesBalancer.ts';
import SlotSimulation from './SlotSimulation.ts';
import type { SimulationOptions } from './SlotSimulation.ts';

const seed = Number(process.argv[2] ?? 1);
const durationMs = 40_000;
const columns = ['case', 'requests', 'refused', 'late', 'retries', 'p50 ms', 'p99 ms', 'good/s'];

function formatRow(cells: readonly string[]): string {
  const [first = '', ...rest] = cells;
  return `${first.padEnd(34)}${rest.map((cell) => cell.padStart(10)).join('')}\n`;
}

function printRun(name: string, options: Omit<SimulationOptions, 'seed' | 'durationMs'>): void {
  const result = new SlotSimulation({ ...options, seed, durationMs }).runSimulation();
  const { requests, refused, late, retries, medianMs, p99Ms: highMs, goodput } = result;
  const texts = [requests, refused, late, retries].map(String);
  const times = [medianMs, highMs, goodput].map((value) => value.toFixed(1));
  process.stdout.write(formatRow([name, ...texts, ...times]));
}

interface Variant {
  readonly name: string;
  readonly balancer: Balancer;
  readonly reportsQueue?: boolean;
}

const variants: readonly Variant[] = [
  { name: 'random', balancer: new RandomBalancer() },
  { name: 'two choices', balancer: new TwoChoicesBalancer() },
  ...[10, 25, 100, 400].map((halfLifeMs) => ({
    name: `slots, half-life ${halfLifeMs} ms`,
    balancer: new SlotBalancer({ halfLifeMs }),
  })),
  { name: 'slots, reports count waiting', balancer: new SlotBalancer(), reportsQueue: true },
];

process.stdout.write(
  `seed ${seed}: 44 hosts, 12 upstreams with 4 slots, answers in 25 ms, ${durationMs / 1000} s\n`,
);
process.stdout.write(formatRow(columns));
[0.7, 0.95].forEach((use) =>
  variants.forEach(({ name, balancer, reportsQueue = false }) =>
    printRun(`${use * 100}% ${name}`, {
      balancer,
      offeredLoad: use,
      hasBudget: true,
      reportsQueue,
    }),
  ),
);
[1, 1.25, 1.5, 2, 3].forEach((use) =>
  [true, false].forEach((hasBudget) =>
    printRun(`${use * 100}% ${hasBudget ? 'with' : 'without'} retry budget`, {
      balancer: new SlotBalancer(),
      offeredLoad: use,
      hasBudget,
      reportsQueue: false,
    }),
  ),
);
