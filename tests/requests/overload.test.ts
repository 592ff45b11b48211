import { expect, it } from 'vitest';

import SlotSimulation from '../../bench/SlotSimulation.ts';
import SlotBalancer from '../../src/domain/requests/SlotBalancer.ts';

// Returns the good answers per second of simulated time for 44 hosts and 12 upstreams of 4 slots
// each.
function measureGoodput(use: number): number {
  return new SlotSimulation({
    ...{ balancer: new SlotBalancer(), use, hasBudget: true, reportsQueue: false },
    ...{ seed: 1, durationMs: 5000 },
  }).runSimulation().goodput;
}

// Guards against retries that take the place of first attempts: goodput would fall as load grows.
it('should keep more than nine tenths of the goodput at twice the load', () => {
  expect(measureGoodput(2)).toBeGreaterThan(0.9 * measureGoodput(1));
});
