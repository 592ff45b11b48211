import { monitorEventLoopDelay } from 'node:perf_hooks';
import { setTimeout } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** The measured values by name. */
type Values = Readonly<Record<string, number>>;

/** A measurement that is taken at several sizes and extrapolated to a future size. */
export interface SizeTable {
  readonly title: string;
  readonly sizeName: string;
  readonly sizes: readonly number[];
  readonly futureSize: number;
  readonly measure: (size: number) => Promise<Values>;
}

// Time in which an overdue timer fires after the event loop was blocked.
const timerSettleMs = 20;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Measures the mean processor time of one run of the work, in milliseconds, after warm-up runs. */
export async function measureProcessorMs(
  repeats: number,
  work: (run: number) => unknown,
  warmUps = Math.ceil(repeats / 4),
): Promise<number> {
  for (let run = 0; run < warmUps; run += 1) await work(run);
  const before = process.cpuUsage();
  for (let run = warmUps; run < warmUps + repeats; run += 1) await work(run);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1000 / repeats;
}

/**
 * Measures how long the work takes and the longest time for which it blocks the event loop, both in
 * milliseconds; the second has a resolution of 1 ms.
 */
export async function measureBlocking(work: () => Promise<unknown>) {
  // Otherwise the collection of earlier garbage could block the event loop during the work.
  collectGarbage();
  const delays = monitorEventLoopDelay({ resolution: 1 });
  delays.enable();
  await setTimeout(timerSettleMs);
  delays.reset();
  // The first delay is counted from the second firing after the reset.
  await setTimeout(timerSettleMs);
  const start = performance.now();
  await work();
  const totalMs = performance.now() - start;
  await setTimeout(timerSettleMs);
  delays.disable();
  return { totalMs, maxBlockMs: delays.max / 1e6 };
}

/** Measures the heap that the created value occupies, in megabytes. */
export function measureHeapMb(createValue: () => unknown): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  // The array keeps the value reachable until the second measurement.
  const kept = [createValue()];
  collectGarbage();
  return (process.memoryUsage().heapUsed - before) / 1e6 / kept.length;
}

/**
 * Measures at each size and prints the values, their least-squares slope and the value that it
 * predicts at the future size.
 */
export async function printSizes(table: SizeTable): Promise<void> {
  const { title, sizeName, sizes, futureSize, measure } = table;
  const results: Values[] = [];
  for (const size of sizes) results.push(await measure(size));
  const meanSize = sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
  const squaredDeviationSum = sizes.reduce((sum, size) => sum + (size - meanSize) ** 2, 0);
  const formatLine = (name: string, cells: readonly string[]): string =>
    `${name.padEnd(30)}${cells.map((cell) => cell.padStart(12)).join('')}\n`;
  const lines = Object.keys(results[0] ?? {}).map((name) => {
    const values = results.map((result) => result[name] ?? Number.NaN);
    const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
    const slope =
      values.reduce(
        (sum, value, index) => sum + ((sizes[index] ?? 0) - meanSize) * (value - mean),
        0,
      ) / squaredDeviationSum;
    const cells = [...values, slope, mean + slope * (futureSize - meanSize)];
    return formatLine(
      name,
      cells.map((cell) => cell.toPrecision(4)),
    );
  });
  const head = formatLine(sizeName, [...sizes.map(String), 'slope', `at ${futureSize}`]);
  process.stdout.write(`\n${title}\n${head}${lines.join('')}`);
}
