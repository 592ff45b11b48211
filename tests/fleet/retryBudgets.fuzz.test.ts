import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import RetryFleet from '../fixtures/RetryFleet.ts';
import type { RetryFault, RetryPlan } from '../fixtures/RetryFleet.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';
import readFuzzSettings from '../fixtures/readFuzzSettings.ts';

const { parameters, timeoutMs } = readFuzzSettings('retry budgets fuzz', 30);

const endMs = 45_000;
const quietPlan: RetryPlan = {
  limit: { share: 0.2, extra: 32, windowMs: 10_000 },
  domainSizes: [6, 6, 6, 6],
  rates: [1, 1, 1, 1],
  pressure: 1,
  faults: [],
  joinsAtMs: [],
  moveAtMs: endMs,
  endMs,
};

async function listExceeded(plan: RetryPlan, seed: number) {
  const fleet = new RetryFleet(plan, new SeededRandom(seed));
  await fleet.run();
  return fleet.oracle.listExceeded();
}

const allHosts = Array.from({ length: 24 }, (_, index) => index);
const mostHosts = allHosts.filter((index) => index % 5 > 1);

const faults: fc.Arbitrary<RetryFault> = fc.record({
  kind: fc.constantFrom('kill', 'cut', 'freeze', 'suspend', 'remove', 'loss', 'lists'),
  atMs: fc.nat({ max: 40 }).map((seconds) => seconds * 1000),
  forMs: fc.integer({ min: 2, max: 30 }).map((halves) => halves * 500),
  hosts: fc.subarray(allHosts),
});

const plans: fc.Arbitrary<RetryPlan> = fc.record({
  limit: fc.record({
    share: fc.constantFrom(0, 0.2, 0.5),
    extra: fc.integer({ min: 4, max: 60 }),
    windowMs: fc.constant(10_000),
  }),
  domainSizes: fc.array(fc.integer({ min: 2, max: 8 }), { minLength: 2, maxLength: 4 }),
  rates: fc.array(fc.constantFrom(0.2, 1, 3), { minLength: 4, maxLength: 4 }),
  pressure: fc.constantFrom(0.3, 1),
  faults: fc.array(faults, { maxLength: 6 }),
  joinsAtMs: fc.array(
    fc.integer({ min: 10, max: 35 }).map((seconds) => seconds * 1000),
    {
      maxLength: 3,
    },
  ),
  moveAtMs: fc.constantFrom(endMs, 25_000),
  endMs: fc.constant(endMs),
});

describe('retry budgets of a whole fleet', () => {
  // Guards against retries that pile up beyond the limit of a service while hosts don't hear each
  // other.
  it.each([
    ['all hosts hear each other', undefined],
    ['most hosts are cut off', { kind: 'cut', atMs: 15_000, forMs: 15_000, hosts: mostHosts }],
    ['most hosts are killed', { kind: 'kill', atMs: 20_000, forMs: 500, hosts: mostHosts }],
    ['all hosts are killed', { kind: 'kill', atMs: 20_000, forMs: 1000, hosts: allHosts }],
  ] as const)('should stay within the limit while %s', async (_, fault) => {
    const plan = { ...quietPlan, faults: fault ? [fault] : [] };

    expect(await listExceeded(plan, 1)).toEqual([]);
  });

  // Guards against a limit that is kept by giving up retries.
  it('should let hosts that hear each other use two thirds of the limit', async () => {
    const fleet = new RetryFleet(
      {
        ...quietPlan,
        limit: { ...quietPlan.limit, extra: 64 },
        ...{ domainSizes: [12, 12, 12, 12], rates: [0.4, 0.4, 0.4, 0.4] },
      },
      new SeededRandom(1),
    );
    await fleet.run();

    expect(fleet.oracle.computeUse()).toBeGreaterThan(2 / 3);
  });

  it('should stay within the limit while hosts restart in turn', async () => {
    const restarts = allHosts.map((index) => ({
      ...({ kind: 'kill', forMs: 500, hosts: [index] } as const),
      atMs: 15_000 + index * 400,
    }));

    expect(await listExceeded({ ...quietPlan, faults: restarts }, 1)).toEqual([]);
  });

  it(
    'should stay within the limit in any mix of faults, loads and changes of the fleet',
    async () => {
      await fc.assert(
        fc.asyncProperty(plans, fc.nat(), async (plan, seed) => {
          expect(await listExceeded(plan, seed)).toEqual([]);
        }),
        parameters,
      );
    },
    timeoutMs,
  );
});
