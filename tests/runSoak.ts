import { readFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';

import SoakRun from './soak/SoakRun.ts';
import type { SoakPlan } from './soak/SoakPlan.ts';
import checkRun from './soak/checkRun.ts';
import drawPlan from './soak/drawPlan.ts';
import shrinkPlan from './soak/shrinkPlan.ts';

const maxPrinted = 10;

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function readNumber(name: string, text: string): number {
  const value = Number(text);
  if (Number.isSafeInteger(value) && value > 0) return value;
  throw new Error(`--${name}: value "${text}": expected a whole number above 0`);
}

/** Plays a plan and prints what it checked; returns the names of the rules that broke. */
async function playPlan(plan: SoakPlan): Promise<readonly string[]> {
  const run = new SoakRun(plan, printLine);
  const end = (): void => {
    run.stop().finally(() => process.exit(1));
  };
  ['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, end));
  const results = checkRun(await run.run());
  ['SIGINT', 'SIGTERM'].forEach((signal) => process.off(signal, end));
  results.forEach(({ name, checked, violations }) => {
    printLine(`${name}: ${checked} checked, ${violations.length} broken`);
    violations.slice(0, maxPrinted).forEach((violation) => printLine(`  ${violation}`));
  });
  const broken = results.filter(({ violations }) => violations.length > 0);
  if (broken.length > 0) printLine(`logs of the processes: ${await run.saveLogs()}`);
  printLine(`seed ${plan.seed}: ${broken.length === 0 ? 'no rule broken' : 'BROKEN'}`);
  return broken.map(({ name }) => name);
}

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: String(Date.now() % 1_000_000) },
    seeds: { type: 'string', default: '1' },
    duration: { type: 'string', default: '60' },
    size: { type: 'string', default: '4' },
    plan: { type: 'string' },
    shrink: { type: 'boolean', default: false },
  },
});
const firstSeed = readNumber('seed', values.seed);
const size = {
  durationMs: 1000 * readNumber('duration', values.duration),
  size: readNumber('size', values.size),
};
const plans = values.plan
  ? [JSON.parse(await readFile(values.plan, 'utf8')) as SoakPlan]
  : Array.from({ length: readNumber('seeds', values.seeds) }, (_, index) =>
      drawPlan({ seed: firstSeed + index, ...size }),
    );
const failed: number[] = [];
for (const plan of plans) {
  printLine(`plan: ${JSON.stringify(plan)}`);
  const broken = await playPlan(plan);
  if (broken.length > 0) failed.push(plan.seed);
  if (broken.length > 0 && values.shrink) {
    const shortest = await shrinkPlan(plan, async (candidate) => {
      const names = await playPlan(candidate);
      return names.some((name) => broken.includes(name));
    });
    printLine(`shortest plan that still fails: ${JSON.stringify(shortest)}`);
  }
}
printLine(
  `${plans.length} runs, ${failed.length} failed${failed.length > 0 ? `: ${failed.join(', ')}` : ''}`,
);
process.exitCode = failed.length > 0 ? 1 : 0;
