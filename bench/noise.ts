import { parseArgs } from 'node:util';

import detectors from './detection/detectors.ts';
import type { DetectorName } from './detection/detectors.ts';
import { measureFalseEjections } from './detection/measureDetection.ts';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    detector: { type: 'string', default: 'sure' },
    hosts: { type: 'string', default: '46' },
    upstreams: { type: 'string', default: '15' },
    rate: { type: 'string', default: '20' },
    'upstream-days': { type: 'string', default: '1' },
  },
});

function isDetectorName(name: string): name is DetectorName {
  return name in detectors;
}

const { detector } = values;
if (!isDetectorName(detector)) {
  throw new Error(`detector is ${detector}, expected one of ${Object.keys(detectors).join(', ')}`);
}
const upstreamDays = Number(values['upstream-days']);
process.stdout.write(
  `${detector}, seed ${values.seed}, ${values.hosts} hosts, ${values.upstreams} upstreams, ${values.rate}/s\n`,
);
let printed = 0;
// A line for every tenth upstream-day, so that a run that is stopped early has a result too.
measureFalseEjections({
  detector,
  seed: Number(values.seed),
  hosts: Number(values.hosts),
  upstreams: Number(values.upstreams),
  rate: Number(values.rate),
  upstreamDays,
  report: (progress, { ejections }) => {
    ejections
      .slice(printed)
      .forEach((ejection) => process.stdout.write(`ejected: ${JSON.stringify(ejection)}\n`));
    printed = ejections.length;
    const days = progress.upstreamDays;
    if (days % 10 !== 0 && days !== upstreamDays) return;
    process.stdout.write(`${days} upstream-days, ${progress.ejections} false ejections\n`);
  },
});
