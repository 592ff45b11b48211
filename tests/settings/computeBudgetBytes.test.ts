import { expect, it } from 'vitest';

import computeBudgetBytes from '../../src/domain/memory/computeBudgetBytes.ts';

// Guards against a small machine whose processes hold as much as those of a large one, and against
// one that can't hold a single document.
it.each([
  [undefined, 25_165_824],
  [1_000_000_000, 25_165_824],
  [250_000_000, 25_165_824],
  [202_000_000, 11_744_051],
  [100_000_000, 8_388_608],
])('should allow for a process that may use %s bytes %i of them', (maxMemoryBytes, budget) => {
  expect(computeBudgetBytes(maxMemoryBytes)).toBe(budget);
});
