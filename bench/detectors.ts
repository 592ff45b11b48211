import { parseArgs } from 'node:util';

import runDetectionBench, { deployments } from './detection/runDetectionBench.ts';
import type { DeploymentName } from './detection/runDetectionBench.ts';

const { values } = parseArgs({
  options: {
    deployment: { type: 'string' },
    seed: { type: 'string', default: '1' },
    trials: { type: 'string', default: '100' },
    'upstream-days': { type: 'string', default: '0.2' },
  },
});
const names = Object.keys(deployments) as DeploymentName[];
const chosen = names.filter((name) => name === (values.deployment ?? name));
if (chosen.length === 0) {
  throw new Error(`--deployment ${values.deployment}: expected one of ${names.join(', ')}`);
}
runDetectionBench(
  {
    deployment: chosen,
    seed: Number(values.seed),
    trials: Number(values.trials),
    upstreamDays: Number(values['upstream-days']),
  },
  (line) => process.stdout.write(`${line}\n`),
);
