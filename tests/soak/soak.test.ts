import { describe, expect, it } from 'vitest';

import SoakRun from './SoakRun.ts';
import checkRun from './checkRun.ts';
import drawPlan from './drawPlan.ts';

const durationMs = 45_000;

describe('soak of the real programs', () => {
  // Guards against a promise that holds in each test by itself, but not while faults overlap.
  it.each([1])(
    'should keep all promises with seed %s',
    async (seed) => {
      const run = new SoakRun(drawPlan({ seed, durationMs, size: 3 }), () => undefined);
      const results = checkRun(await run.run());

      expect(
        results.flatMap(({ name, violations }) => violations.map((text) => `${name}: ${text}`)),
      ).toEqual([]);
    },
    5 * durationMs,
  );
});
