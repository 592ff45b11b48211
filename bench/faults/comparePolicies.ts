// Plays the patterns of load with the classes that choose upstreams, and prints how they ended:
// `npx tsx bench/faults/comparePolicies.ts [FIRST_SEED] [SEEDS]`.
import patterns from './patterns.ts';
import playPattern from './playPattern.ts';
import policies from './policies.ts';

const firstSeed = Number(process.argv[2] ?? 1);
const seeds = Number(process.argv[3] ?? 20);
const durationMs = 40_000;
const columns = ['in time', 'late', 'lost', 'refused', 'retries', 'resets', 'KiB across'];

function formatRow(cells: readonly string[]): string {
  const [pattern = '', policy = '', ...rest] = cells;
  const numbers = rest.map((cell) => cell.padStart(11)).join('');
  return `${pattern.padEnd(36)}${policy.padEnd(12)}${numbers}\n`;
}

process.stdout.write(`seeds ${firstSeed} to ${firstSeed + seeds - 1}, ${durationMs / 1000} s\n`);
process.stdout.write(formatRow(['pattern', 'policy', ...columns]));
patterns.forEach((pattern) =>
  Object.entries(policies).forEach(([name, create]) => {
    const outcome = playPattern({ pattern, create, firstSeed, seeds, durationMs });
    const { requests, inTime, late, lost, refused, retries, resets, crossedBytes } = outcome;
    const shares = [inTime, late, lost, refused, retries, resets].map((count) =>
      (count / requests).toFixed(3),
    );
    const crossed = (crossedBytes / 1024 / seeds).toFixed(0);
    process.stdout.write(formatRow([pattern.name, name, ...shares, crossed]));
  }),
);
