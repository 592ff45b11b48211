import type { DetectionPreference } from '../../src/domain/presets/Preset.ts';
import type { DetectorName } from './detectors.ts';
import type { FleetSize } from './measureDetection.ts';
import { measureDetection, measureFalseEjections, computeQuantile } from './measureDetection.ts';

/** The deployments of docs/design.md, section 1.4. */
export const deployments = {
  filtros: { upstreams: [7, 12, 14], preference: 'fast' },
  urithi: { upstreams: [8, 15, 15], preference: 'sure' },
} as const satisfies Record<
  string,
  { readonly upstreams: readonly number[]; readonly preference: DetectionPreference }
>;

/** Names of the deployments. */
export type DeploymentName = keyof typeof deployments;

const faults = [
  { kind: 'slow', factor: 10 },
  { kind: 'wrong', share: 0.3 },
] as const;
const maxMs = 20_000;
// With this many ejections, the measured rate is accurate to within a few percent.
const maxDecisions = 2000;

/** Options of the detector comparison. */
export interface DetectionBenchOptions {
  readonly deployment: readonly DeploymentName[];
  readonly seed: number;
  readonly trials: number;
  readonly upstreamDays: number;
}

interface MeasuredRow {
  readonly detector: DetectorName;
  readonly size: FleetSize;
  readonly seed: number;
  readonly trials: number;
  readonly upstreamDays: number;
}

function formatTime(ms: number): string {
  return ms === Infinity ? '-' : `${(ms / 1000).toFixed(2)} s`;
}

function measureRow({ detector, size, seed, trials, upstreamDays }: MeasuredRow): string {
  const times = faults.flatMap((fault) => {
    const detectionTimes = measureDetection({ ...size, detector, fault, seed, trials, maxMs });
    return [0.5, 0.99].map((share) => formatTime(computeQuantile(detectionTimes, share)));
  });
  const falseEjections = measureFalseEjections({
    ...size,
    detector,
    seed,
    upstreamDays,
    maxDecisions,
  });
  return [
    ...times,
    falseEjections.perUpstreamDay.toFixed(3),
    `${falseEjections.ejections.toFixed(2)} in ${falseEjections.upstreamDays} days`,
  ].join(' | ');
}

/**
 * Compares the detectors for the services of each deployment, with the same seeds: the time to
 * detect an upstream that is 10 times slower or answers 30% of the requests wrongly (median and
 * 99th percentile; `-` for more than 20 s), and the false ejections without faults. Prints one
 * table with a row for each service and detector.
 */
export default function runDetectionBench(
  { deployment, seed, trials, upstreamDays }: DetectionBenchOptions,
  print: (line: string) => void,
): void {
  print(`seed ${seed}, ${trials} trials, ${upstreamDays} upstream-days, 46 hosts, 20/s`);
  print(
    'deployment | upstreams | detector | slow x10 median | slow x10 99% | wrong 30% median | wrong 30% 99% | false ejections/upstream/day | false ejections',
  );
  deployment.forEach((name) => {
    const { upstreams: counts, preference } = deployments[name];
    counts.forEach((upstreams, service) => {
      const size = { hosts: 46, upstreams, rate: 20 };
      ([preference, 'consecutive', 'success_rate'] as const).forEach((detector) => {
        // Each service has its own seed, which all of its detectors share.
        const row = { detector, size, seed: seed + 1000 * service, trials, upstreamDays };
        print(`${name} | ${upstreams} | ${detector} | ${measureRow(row)}`);
      });
    });
  });
}
