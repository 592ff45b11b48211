import detectors from './detectors.ts';
import type { DetectorName } from './detectors.ts';
import { measureDetection, measureFalseEjections, takeQuantile } from './measureDetection.ts';

const faults = [
  { kind: 'slow', factor: 3 },
  { kind: 'slow', factor: 10 },
  { kind: 'slow', factor: 50 },
  { kind: 'wrong', share: 0.05 },
  { kind: 'wrong', share: 0.3 },
  { kind: 'wrong', share: 1 },
] as const;

/** How long the comparison runs. */
export interface DetectionBenchOptions {
  readonly seed: number;
  readonly trials: number;
  readonly upstreamDays: number;
}

function formatTime(ms: number): string {
  return ms === Infinity ? '-' : `${(ms / 1000).toFixed(2)} s`;
}

/**
 * Compares the detectors on the same seeds: time to detect (median, 99 in 100; `-` when it took
 * longer than 20 s) and false ejections for each upstream and day. Writes a line for each.
 */
export default function runDetectionBench(
  { seed, trials, upstreamDays }: DetectionBenchOptions,
  print: (line: string) => void,
): void {
  const size = { hosts: 46, upstreams: 8, rate: 20, seed };
  print(
    `seed ${seed}, ${trials} trials, ${upstreamDays} upstream-days, 46 hosts, 8 upstreams, 20/s`,
  );
  (Object.keys(detectors) as DetectorName[]).forEach((detector) => {
    faults.forEach((fault) => {
      const times = measureDetection({ ...size, detector, fault, trials, longestMs: 20_000 });
      const [median, late] = [0.5, 0.99].map((share) => formatTime(takeQuantile(times, share)));
      print(`${detector} | ${JSON.stringify(fault)} | ${median} | ${late}`);
    });
    const { perUpstreamDay } = measureFalseEjections({ ...size, detector, upstreamDays });
    print(`${detector} | false ejections for each upstream and day | ${perUpstreamDay.toFixed(3)}`);
  });
}
