import { expect, it } from 'vitest';

import SlotSimulation from '../../bench/SlotSimulation.ts';
import SlotBalancer from '../../src/domain/requests/SlotBalancer.ts';

// Returns the requests that are answered in time, per second of simulated time, for 44 hosts and 12
// upstreams of 4 slots each.
function measureGoodput(offeredLoad: number): number {
  return new SlotSimulation({
    ...{ balancer: new SlotBalancer(), offeredLoad, hasBudget: true, reportsQueue: false },
    ...{ seed: 1, durationMs: 5000 },
  }).runSimulation().goodput;
}

// Guards against retries that take the place of first attempts: goodput would fall as load grows.
it('should keep more than nine tenths of the goodput of full load at twice that load', () => {
  expect(measureGoodput(2)).toBeGreaterThan(0.9 * measureGoodput(1));
});
