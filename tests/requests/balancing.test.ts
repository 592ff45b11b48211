import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import SubsetPool from '../../src/application/requests/SubsetPool.ts';
import type Balancer from '../../src/domain/requests/Balancer.ts';
import type { UpstreamLoad } from '../../src/domain/requests/Balancer.ts';
import chooseSubset, { maxSubsetSize } from '../../src/domain/requests/chooseSubset.ts';
import SlotBalancer from '../../src/domain/requests/SlotBalancer.ts';
import TwoChoicesBalancer from '../../src/domain/requests/TwoChoicesBalancer.ts';
import type UsableUpstream from '../../src/domain/requests/UsableUpstream.ts';
import { createUsable } from '../fixtures/createEntryPath.ts';
import ListedPool from '../fixtures/ListedPool.ts';

const idle: UpstreamLoad = { inFlight: 0, reportedLoad: 0, reportedAt: 0 };
const names = (count: number) => Array.from({ length: count }, (_, index) => `u${index}`);

/** Counts the choices among the upstreams over evenly spread random numbers. */
function countChoices(
  balancer: Balancer,
  candidates: readonly UsableUpstream[],
  loads: Readonly<Record<string, Partial<UpstreamLoad>>> = {},
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  const steps = Array.from({ length: 40 }, (_, index) => (index + 0.5) / 40);
  steps.forEach((one) =>
    steps.forEach((two) => {
      const draws = [one, two];
      const chosen = balancer.chooseUpstream({
        candidates,
        readLoad: (upstream) => ({ ...idle, ...loads[upstream] }),
        now: 1000,
        random: () => draws.shift() ?? 0,
        failureDomain: 'north',
      });
      const name = chosen?.record.upstream ?? 'none';
      counts[name] = (counts[name] ?? 0) + 1;
    }),
  );
  return counts;
}

describe('balancing', () => {
  const two = names(2).map((name) => createUsable(name, name));

  it.each([
    ['two choices', new TwoChoicesBalancer(), { u0: { inFlight: 1 } }],
    ['own requests in flight', new SlotBalancer(), { u0: { inFlight: 1 } }],
    [
      'reported load',
      new SlotBalancer(),
      { u0: { reportedLoad: 3, reportedAt: 990 }, u1: { reportedLoad: 1, reportedAt: 990 } },
    ],
  ])('should avoid the more loaded of two by %s', (_title, balancer, loads) => {
    expect(countChoices(balancer, two, loads)).toEqual({ u1: 1600 });
  });

  // Guards against trusting a load report after the requests that it counted have ended.
  it('should discount a load report by its age', () => {
    const loads = { u0: { reportedLoad: 4, reportedAt: 500 }, u1: { inFlight: 1 } };

    expect(countChoices(new SlotBalancer(), two, loads)).toEqual({ u0: 1600 });
  });

  // Guards against choosing the upstream with the oldest report most, as if it were idle.
  it('should take an upstream with an old report as loaded as the mean', () => {
    const loads = {
      u0: { reportedLoad: 1, reportedAt: 999 },
      u1: { reportedLoad: 3, reportedAt: 1 },
    };

    expect(countChoices(new SlotBalancer(), two, loads)).toEqual({ u0: 1600 });
  });

  it('should prefer the own failure domain only on ties', () => {
    const far = createUsable('far', 'far');
    const mixed = [two[0], { ...far, record: { ...far.record, failureDomain: 'south' } }];
    const candidates = mixed.filter((each) => each !== undefined);

    expect(countChoices(new SlotBalancer(), candidates)).toEqual({ u0: 1600 });
    expect(countChoices(new SlotBalancer(), candidates, { u0: { inFlight: 1 } })).toEqual({
      far: 1600,
    });
  });

  // Guards against starving an upstream on probation, and against flooding it.
  it.each([new TwoChoicesBalancer(), new SlotBalancer()])(
    'should give an upstream of low weight a low but not empty share',
    (balancer) => {
      const candidates = names(5).map((name, index) => ({
        ...createUsable(name, name),
        weight: index === 0 ? 0.1 : 1,
      }));

      const share = (countChoices(balancer, candidates).u0 ?? 0) / 1600;

      expect(share).toBeGreaterThan(0.01);
      expect(share).toBeLessThan(0.08);
    },
  );

  it('should choose nothing without candidates and the only one otherwise', () => {
    expect(countChoices(new SlotBalancer(), [])).toEqual({ none: 1600 });
    expect(countChoices(new SlotBalancer(), two.slice(0, 1))).toEqual({ u0: 1600 });
  });

  // Guards against subsets that reshuffle when one upstream comes or goes.
  it('should change a subset by at most one upstream for each that leaves', () => {
    fc.assert(
      fc.property(fc.integer({ min: 17, max: 60 }), fc.nat(), fc.string(), (count, left, host) => {
        const before = chooseSubset(host, names(count));
        const leaving = `u${left % count}`;
        const after = chooseSubset(
          host,
          names(count).filter((name) => name !== leaving),
        );

        expect(before.size).toBe(maxSubsetSize);
        const kept = [...before].filter((name) => after.has(name));
        expect(kept).toHaveLength(before.has(leaving) ? 15 : 16);
      }),
      { seed: 7, numRuns: 200 },
    );
  });

  // Guards against all hosts loading the same upstreams.
  it('should spread the subsets of 44 hosts over all upstreams', () => {
    const uses = names(44).flatMap((host) => [...chooseSubset(host, names(32))]);
    const counts = names(32).map((name) => uses.filter((use) => use === name).length);

    expect(Math.min(...counts)).toBeGreaterThan(11);
    expect(Math.max(...counts)).toBeLessThan(33);
  });

  // Guards against a subset that keeps upstreams that are no longer usable.
  it('should choose the subset again when the membership changes', () => {
    let usable = names(20).map((name) => createUsable(name, name));
    const pool = new SubsetPool({ pool: new ListedPool(() => usable), host: 'entry-1' });
    const before = pool.listUsable('history');
    usable = usable.filter(({ record }) => record.upstream !== before[0]?.record.upstream);

    const after = pool.listUsable('history');

    expect([before.length, after.length]).toEqual([maxSubsetSize, maxSubsetSize]);
    expect(after).not.toContain(before[0]);
  });

  // Guards against refusing a request that waits for a connection because an upstream joined and
  // pushed the chosen one out of the subset.
  it('should keep a chosen upstream usable when another one takes its place', () => {
    let usable = names(17).map((name) => createUsable(name, name));
    const pool = new SubsetPool({ pool: new ListedPool(() => usable), host: 'entry-1' });
    const [joining] = usable.filter((upstream) => pool.listUsable('history').includes(upstream));
    usable = usable.filter((upstream) => upstream !== joining);
    const before = pool.listUsable('history');
    if (joining) usable = [...usable, joining];

    const after = pool.listUsable('history');

    const replaced = before.filter((upstream) => !after.includes(upstream));
    expect(replaced.map(({ record }) => pool.isUsable(record))).toEqual([true]);
  });

  it('should refuse a chosen upstream that is no longer usable', () => {
    let usable = names(20).map((name) => createUsable(name, name));
    const pool = new SubsetPool({ pool: new ListedPool(() => usable), host: 'entry-1' });
    const [chosen] = pool.listUsable('history');
    usable = usable.filter((upstream) => upstream !== chosen);

    expect(chosen && pool.isUsable(chosen.record)).toBe(false);
  });
});
