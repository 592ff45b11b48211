import { describe, expect, it } from 'vitest';

import { compareRetryRanks } from '../../src/domain/admission/RetryRank.ts';
import createHandlerPath from '../fixtures/createHandlerPath.ts';
import type { AttemptScript } from '../fixtures/createHandlerPath.ts';
import runRefusalLoad from './runRefusalLoad.ts';
import type { RefusalLoad, RefusalResult, RefusedKind } from './runRefusalLoad.ts';

const rankRoute = (route: number) => ({ team: Infinity, route });
const domain = { hosts: 30, extra: 160, refusedShare: 0.55, faultMs: 8500 };
// One of three failure domains of the deployment with teams.
const kinds: readonly RefusedKind[] = [
  { name: 'status', perSecond: 59, rank: rankRoute(0), value: 1.8 },
  { name: 'confirmation', perSecond: 172, rank: rankRoute(1), value: 1.9 },
  { name: 'tariff', perSecond: 59, rank: rankRoute(2), value: 0.48 },
];
const seeds = [1, 2, 3, 4];
// Two standard deviations of the served share of 2,000 requests.
const noise = 0.025;

const runSeeds = (load: Omit<RefusalLoad, 'seed'>): Promise<RefusalResult[]> =>
  Promise.all(seeds.map((seed) => runRefusalLoad({ ...load, seed })));

// Requests without a rank are served as before the ranks.
const dropRanks = (ranked: readonly RefusedKind[]): readonly RefusedKind[] =>
  ranked.map(({ rank: _rank, ...kind }) => kind);

const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const readServed = (results: readonly RefusalResult[], name: string): number =>
  computeMean(results.map(({ served }) => served[name] ?? 0));

// The load: every upstream of a service refuses 55% for 8.5 s at 40% use of the slots, so that
// requests want about six times the retries of the budget.
describe('scarce retries', () => {
  it('should be worth more to callers than without ranks and serve urgent kinds first', async () => {
    const before = await runSeeds({ ...domain, kinds: dropRanks(kinds) });
    const after = await runSeeds({ ...domain, kinds });
    const [status, confirmation, tariff] = kinds.map(({ name }) => readServed(after, name));

    expect(computeMean(after.map(({ value }) => value))).toBeGreaterThan(
      computeMean(before.map(({ value }) => value)),
    );
    expect(status).toBeGreaterThan(readServed(before, 'status') + 0.1);
    expect(status).toBeGreaterThan((confirmation ?? 1) - noise);
    expect(confirmation).toBeGreaterThan((tariff ?? 1) - noise);
  });

  // Guards against retries that are kept for requests that never need them.
  it('should use as much of the budget as without ranks', async () => {
    const before = await runSeeds({ ...domain, kinds: dropRanks(kinds) });
    const after = await runSeeds({ ...domain, kinds });

    expect(computeMean(after.map(({ retries }) => retries))).toBeGreaterThan(
      0.95 * computeMean(before.map(({ retries }) => retries)),
    );
  });

  // Guards against requests that wait for others that do not exist.
  it.each([
    ['all have the same rank', 0.55, kinds.map((kind) => ({ ...kind, rank: rankRoute(1) }))],
    ['the budget has enough for all', 0.05, kinds],
  ])('should serve the same requests as without ranks when %s', async (_case, refused, ranked) => {
    const load = { ...domain, refusedShare: refused, seed: 1 };

    expect(await runRefusalLoad({ ...load, kinds: ranked })).toEqual(
      await runRefusalLoad({ ...load, kinds: dropRanks(ranked) }),
    );
  });

  // Guards against hedges that use up the retries of requests that were refused.
  it('should go to refused requests before hedges of a more urgent kind', async () => {
    const refused = { name: 'refused', perSecond: 145, rank: rankRoute(2), value: 1 };
    const hedged = { ...refused, name: 'hedged', rank: rankRoute(0), use: 'hedge' as const };
    const after = await runSeeds({ ...domain, kinds: [refused, hedged] });

    expect(readServed(after, 'refused')).toBeGreaterThan(readServed(after, 'hedged') + 0.1);
  });
});

describe('ranks of retries', () => {
  it('should put hedges last, then compare team, route and whether the answer will be late', () => {
    const ranks = [
      { team: 0, route: 5, use: 'in_time' as const },
      { team: 0, route: 5, use: 'late' as const },
      { team: 1, route: 0, use: 'in_time' as const },
      { team: Infinity, route: 0, use: 'late' as const },
      { team: Infinity, route: Infinity, use: 'in_time' as const },
      { team: 0, route: 0, use: 'hedge' as const },
    ];

    expect([...ranks].reverse().sort(compareRetryRanks)).toEqual(ranks);
  });

  it.each([
    [500, 100, 'in_time'],
    [500, 450, 'late'],
    [undefined, 450, 'in_time'],
  ])(
    'should be those of the objective %s ms after 100 ms when half of the answers take %s ms: %s',
    async (objectiveMs, typicalMs, use) => {
      const attempts: AttemptScript[] = [{ end: 'not_run', waitMs: 100, callerDisconnects: 'no' }];
      const objective = objectiveMs === undefined ? {} : { objectiveMs };
      const options = { attempts, repeat: 'allowed' as const, upstreams: 2, typicalMs };
      const { uses } = await createHandlerPath({ ...options, ...objective }).runRequest();

      expect(uses).toEqual([use]);
    },
  );

  it('should be the lowest for a second upstream beside an overdue one', async () => {
    const silent: AttemptScript = { end: 'silent', waitMs: 0, callerDisconnects: 'no' };
    const options = { repeat: 'allowed' as const, upstreams: 2, longMs: 100 };
    const { uses } = await createHandlerPath({ ...options, attempts: [silent] }).runRequest();

    expect(uses).toEqual(['hedge']);
  });
});
