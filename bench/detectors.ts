import { parseArgs } from 'node:util';

import runDetectionBench from './detection/runDetectionBench.ts';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    trials: { type: 'string', default: '100' },
    'upstream-days': { type: 'string', default: '0.2' },
  },
});
runDetectionBench(
  {
    seed: Number(values.seed),
    trials: Number(values.trials),
    upstreamDays: Number(values['upstream-days']),
  },
  (line) => process.stdout.write(`${line}\n`),
);
