// Simulates each fault pattern under each balancing policy and prints the outcomes as shares of the
// requests. `KiB across` is the mean amount of answer data per run that crosses failure domains, in
// KiB. Usage: `npx tsx bench/faults/comparePolicies.ts [FIRST_SEED] [SEEDS]`.
import patterns from './patterns.ts';
import runPattern from './runPattern.ts';
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
  Object.entries(policies).forEach(([name, createPolicy]) => {
    const outcome = runPattern({ pattern, createPolicy, firstSeed, seeds, durationMs });
    const { requests, inTime, late, lost, refused, retries, resets, crossDomainBytes } = outcome;
    const shares = [inTime, late, lost, refused, retries, resets].map((count) =>
      (count / requests).toFixed(3),
    );
    const crossDomainKib = (crossDomainBytes / 1024 / seeds).toFixed(0);
    process.stdout.write(formatRow([pattern.name, name, ...shares, crossDomainKib]));
  }),
);
