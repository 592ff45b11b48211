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
import FakeUpstreamPool from '../fixtures/FakeUpstreamPool.ts';

const idleLoad: UpstreamLoad = { inFlight: 0, reportedLoad: 0, reportedAt: 0 };
const createNames = (count: number) => Array.from({ length: count }, (_, index) => `u${index}`);

/** Counts how often the balancer chooses each upstream over a grid of pairs of random numbers. */
function countChoices(
  balancer: Balancer,
  candidates: readonly UsableUpstream[],
  loads: Readonly<Record<string, Partial<UpstreamLoad>>> = {},
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  const steps = Array.from({ length: 40 }, (_, index) => (index + 0.5) / 40);
  steps.forEach((firstDraw) =>
    steps.forEach((secondDraw) => {
      const draws = [firstDraw, secondDraw];
      const chosen = balancer.chooseUpstream({
        candidates,
        readLoad: (upstream) => ({ ...idleLoad, ...loads[upstream] }),
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

describe('load balancing', () => {
  const pair = createNames(2).map((name) => createUsable(name, name));

  it.each([
    ['requests in flight, two random choices', new TwoChoicesBalancer(), { u0: { inFlight: 1 } }],
    ['requests in flight, slots', new SlotBalancer(), { u0: { inFlight: 1 } }],
    [
      'reported load, slots',
      new SlotBalancer(),
      { u0: { reportedLoad: 3, reportedAt: 990 }, u1: { reportedLoad: 1, reportedAt: 990 } },
    ],
  ])('should choose the less loaded of two upstreams by %s', (_title, balancer, loads) => {
    expect(countChoices(balancer, pair, loads)).toEqual({ u1: 1600 });
  });

  // Guards against relying on a load report after the requests that it counted have been answered.
  it('should discount a load report by its age', () => {
    const loads = { u0: { reportedLoad: 4, reportedAt: 500 }, u1: { inFlight: 1 } };

    expect(countChoices(new SlotBalancer(), pair, loads)).toEqual({ u0: 1600 });
  });

  // Guards against treating an upstream with an old load report as idle, so that it is chosen most.
  it('should assume the mean load for an upstream with an old load report', () => {
    const loads = {
      u0: { reportedLoad: 1, reportedAt: 999 },
      u1: { reportedLoad: 3, reportedAt: 1 },
    };

    expect(countChoices(new SlotBalancer(), pair, loads)).toEqual({ u0: 1600 });
  });

  it("should prefer the host's failure domain only among equally loaded upstreams", () => {
    const far = createUsable('far', 'far');
    const mixed = [pair[0], { ...far, record: { ...far.record, failureDomain: 'south' } }];
    const candidates = mixed.filter((each) => each !== undefined);

    expect(countChoices(new SlotBalancer(), candidates)).toEqual({ u0: 1600 });
    expect(countChoices(new SlotBalancer(), candidates, { u0: { inFlight: 1 } })).toEqual({
      far: 1600,
    });
  });

  // Guards against an upstream on probation that gets no requests, and against one that gets its
  // full share.
  it.each([new TwoChoicesBalancer(), new SlotBalancer()])(
    'should give an upstream of low weight a small share of the requests, but more than none',
    (balancer) => {
      const candidates = createNames(5).map((name, index) => ({
        ...createUsable(name, name),
        weight: index === 0 ? 0.1 : 1,
      }));

      const share = (countChoices(balancer, candidates).u0 ?? 0) / 1600;

      expect(share).toBeGreaterThan(0.01);
      expect(share).toBeLessThan(0.08);
    },
  );

  it('should choose no upstream without candidates and always the only candidate', () => {
    expect(countChoices(new SlotBalancer(), [])).toEqual({ none: 1600 });
    expect(countChoices(new SlotBalancer(), pair.slice(0, 1))).toEqual({ u0: 1600 });
  });

  // Guards against subsets that are reshuffled when one upstream joins or leaves.
  it('should replace only the removed upstream of a subset when one of all upstreams leaves', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 17, max: 60 }),
        fc.nat(),
        fc.string(),
        (count, leavingIndex, host) => {
          const before = chooseSubset(host, createNames(count));
          const leaving = `u${leavingIndex % count}`;
          const after = chooseSubset(
            host,
            createNames(count).filter((name) => name !== leaving),
          );

          expect(before.size).toBe(maxSubsetSize);
          const kept = [...before].filter((name) => after.has(name));
          expect(kept).toHaveLength(before.has(leaving) ? 15 : 16);
        },
      ),
      { seed: 7, numRuns: 200 },
    );
  });

  // Guards against hosts that all choose the same subset and overload its upstreams.
  it('should spread the subsets of 44 hosts over all 32 upstreams', () => {
    const chosenNames = createNames(44).flatMap((host) => [...chooseSubset(host, createNames(32))]);
    const counts = createNames(32).map(
      (name) => chosenNames.filter((chosenName) => chosenName === name).length,
    );

    expect(Math.min(...counts)).toBeGreaterThan(11);
    expect(Math.max(...counts)).toBeLessThan(33);
  });

  // Guards against a subset that keeps upstreams that are no longer usable.
  it('should choose a new subset when the usable upstreams change', () => {
    let usable = createNames(20).map((name) => createUsable(name, name));
    const pool = new SubsetPool({ pool: new FakeUpstreamPool(() => usable), host: 'entry-1' });
    const before = pool.listUsable('history');
    usable = usable.filter(({ record }) => record.upstream !== before[0]?.record.upstream);

    const after = pool.listUsable('history');

    expect([before.length, after.length]).toEqual([maxSubsetSize, maxSubsetSize]);
    expect(after).not.toContain(before[0]);
  });

  // Guards against refusing a request that waits for a connection because an upstream joined and
  // pushed the chosen one out of the subset.
  it('should keep a chosen upstream usable when another one replaces it in the subset', () => {
    let usable = createNames(17).map((name) => createUsable(name, name));
    const pool = new SubsetPool({ pool: new FakeUpstreamPool(() => usable), host: 'entry-1' });
    const [joining] = usable.filter((upstream) => pool.listUsable('history').includes(upstream));
    usable = usable.filter((upstream) => upstream !== joining);
    const before = pool.listUsable('history');
    if (joining) usable = [...usable, joining];

    const after = pool.listUsable('history');

    const replaced = before.filter((upstream) => !after.includes(upstream));
    expect(replaced.map(({ record }) => pool.isUsable(record))).toEqual([true]);
  });

  it('should report a chosen upstream as not usable when it has left the pool', () => {
    let usable = createNames(20).map((name) => createUsable(name, name));
    const pool = new SubsetPool({ pool: new FakeUpstreamPool(() => usable), host: 'entry-1' });
    const [chosen] = pool.listUsable('history');
    usable = usable.filter((upstream) => upstream !== chosen);

    expect(chosen && pool.isUsable(chosen.record)).toBe(false);
  });
});
