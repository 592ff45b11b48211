import { parseArgs } from 'node:util';

import { startVitest } from 'vitest/node';

const files = [
  'tests/claims/claimFuzz.test.ts',
  'tests/detection/floor.fuzz.test.ts',
  'tests/fleet/openGroup.fuzz.test.ts',
  'tests/fleet/registrations.fuzz.test.ts',
  'tests/fleet/retryBudgets.fuzz.test.ts',
  'tests/membership/fuzz.test.ts',
  'tests/presets/presetRegistry.test.ts',
  'tests/replication/fuzz.test.ts',
  'tests/requests/requestOutcomes.test.ts',
];

const { values } = parseArgs({
  options: { seed: { type: 'string' }, runs: { type: 'string', default: '200' } },
});
process.env.FUZZ_SEED = values.seed ?? String(Date.now() % 2 ** 31);
process.env.FUZZ_RUNS = values.runs;
const vitest = await startVitest('test', files, { watch: false });
await vitest.close();
