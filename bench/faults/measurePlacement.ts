// Compares policies of choosing upstreams under uneven demand and with upstreams that differ from
// the others, and how many connections they reuse. Prints shares of all requests, except for the
// last columns. Usage: `npx tsx bench/faults/measurePlacement.ts [SEEDS]`.
import { createReusePattern, placementPatterns } from './placementPatterns.ts';
import runPattern from './runPattern.ts';
import policies from './policies.ts';
import type { PolicyName } from './policies.ts';

const seeds = Number(process.argv[2] ?? 3);
const run = { firstSeed: 1, seeds, durationMs: 20_000 };
const longKeepAlivesMs = [15_000, 60_000];
const reusePatterns = [30, 90, 159].map(createReusePattern);
const only = process.argv[3] ?? '';
const patterns = [
  ...placementPatterns,
  ...reusePatterns,
  ...longKeepAlivesMs.flatMap((keepAliveMs) =>
    reusePatterns.map((pattern) => ({
      ...pattern,
      name: `${pattern.name}, kept for ${keepAliveMs / 1000} s`,
      keepAliveMs,
    })),
  ),
].filter(({ name }) => name.endsWith(only));
const names: readonly PolicyName[] = ['lowestCost', 'own domain', 'no reuse', 'random'];
const columns = ['in time', 'late', 'lost', 'refused', 'retries', 'opened', 'KiB across', 'spread'];

function formatRow([pattern = '', policy = '', ...rest]: readonly string[]): string {
  const numbers = rest.map((cell) => cell.padStart(11)).join('');
  return `${pattern.padEnd(56)}${policy.padEnd(12)}${numbers}\n`;
}

process.stdout.write(formatRow(['pattern', 'policy', ...columns]));
patterns.forEach((pattern) =>
  names.forEach((name) => {
    const outcome = runPattern({ ...run, pattern, createPolicy: policies[name] });
    const { requests, inTime, late, lost, refused, retries, opened } = outcome;
    const shares = [inTime, late, lost, refused, retries, opened].map((count) =>
      (count / requests).toFixed(3),
    );
    const crossDomainKib = (outcome.crossDomainBytes / 1024 / seeds).toFixed(0);
    const spread = (outcome.busiestOverMean / seeds).toFixed(2);
    process.stdout.write(formatRow([pattern.name, name, ...shares, crossDomainKib, spread]));
  }),
);
