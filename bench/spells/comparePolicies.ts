// Plays the patterns of load with the classes that choose upstreams, and prints how they ended:
// `npx tsx bench/spells/comparePolicies.ts [FIRST_SEED] [SEEDS]`.
import SuspicionBook from '../../src/domain/detection/SuspicionBook.ts';
import computePrices from '../../src/domain/requests/computePrices.ts';
import PricedBalancer from '../../src/domain/requests/PricedBalancer.ts';
import RandomBalancer from '../../src/domain/requests/RandomBalancer.ts';
import TwoChoicesBalancer from '../../src/domain/requests/TwoChoicesBalancer.ts';
import patterns from './patterns.ts';
import SpellModel from './SpellModel.ts';
import type { HostPolicy, SpellOutcome, SpellPattern } from './SpellModel.ts';

const firstSeed = Number(process.argv[2] ?? 1);
const seedCount = Number(process.argv[3] ?? 20);
const durationMs = 40_000;
// As in the settings of the fleets that the product runs for.
const holdMs = 9000;
const otherDomainPrice = 0.25;
const loadHalfLifeMs = 800;

type CreatePolicy = (pattern: SpellPattern, readNow: () => number) => HostPolicy;

function createPriced(pattern: SpellPattern, readNow: () => number): HostPolicy {
  const suspicions = new SuspicionBook({ holdMs });
  const balancer = new PricedBalancer({
    readPrices: (_service, retryScarcity) =>
      computePrices({ otherDomainPrice, answerBytes: pattern.answerBytes, retryScarcity }),
    readRisk: ({ record }) => suspicions.getRisk(record.upstream, record.incarnation, readNow()),
    loadHalfLifeMs,
  });
  return { balancer, suspicions };
}

const policies: readonly { readonly name: string; readonly create: CreatePolicy }[] = [
  { name: 'prices', create: createPriced },
  {
    name: 'two choices',
    create: () => ({
      balancer: new TwoChoicesBalancer(),
      suspicions: new SuspicionBook({ holdMs }),
    }),
  },
  {
    name: 'random',
    create: () => ({
      balancer: new RandomBalancer(),
      suspicions: new SuspicionBook({ holdMs }),
    }),
  },
];

function addOutcomes(sum: SpellOutcome, next: SpellOutcome): SpellOutcome {
  const fields = Object.keys(sum) as (keyof SpellOutcome)[];
  return Object.fromEntries(
    fields.map((field) => [field, sum[field] + next[field]]),
  ) as unknown as SpellOutcome;
}

function playPattern(pattern: SpellPattern, create: CreatePolicy): SpellOutcome {
  const seeds = Array.from({ length: seedCount }, (_, index) => firstSeed + index);
  return seeds
    .map((seed) =>
      new SpellModel({
        pattern,
        seed,
        durationMs,
        createPolicy: (readNow) => create(pattern, readNow),
      }).runModel(),
    )
    .reduce(addOutcomes);
}

function formatRow(cells: readonly string[]): string {
  const [pattern = '', policy = '', ...rest] = cells;
  const numbers = rest.map((cell) => cell.padStart(10)).join('');
  return `${pattern.padEnd(36)}${policy.padEnd(12)}${numbers}\n`;
}

const columns = ['in time', 'late', 'lost', 'refused', 'retries', 'resets', 'KiB across'];
process.stdout.write(
  `seeds ${firstSeed} to ${firstSeed + seedCount - 1}, ${durationMs / 1000} s\n`,
);
process.stdout.write(formatRow(['pattern', 'policy', ...columns]));
patterns.forEach((pattern) =>
  policies.forEach(({ name, create }) => {
    const { requests, crossedBytes, ...counts } = playPattern(pattern, create);
    const { inTime, late, lost, refused, retries, resets } = counts;
    const shares = [inTime, late, lost, refused, retries, resets].map((count) =>
      (count / requests).toFixed(3),
    );
    const crossed = (crossedBytes / 1024 / seedCount).toFixed(0);
    process.stdout.write(formatRow([pattern.name, name, ...shares, crossed]));
  }),
);
