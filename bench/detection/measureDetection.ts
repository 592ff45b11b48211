import DetectionReplay from './DetectionReplay.ts';
import type { TrafficFault } from './DetectionTraffic.ts';
import detectors from './detectors.ts';
import type { DetectorName } from './detectors.ts';

/** Size and request rate of a simulated fleet. */
export interface FleetSize {
  readonly hosts: number;
  readonly upstreams: number;
  /** Answers per second of each upstream to all hosts together. */
  readonly rate: number;
}

const warmUpMs = 10_000;

/** Returns the smallest value that at least the given share of the values does not exceed. */
export function computeQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? Infinity;
}

/**
 * Returns the time to detection of each trial: milliseconds from the start of a fault of the first
 * upstream to its ejection, or `Infinity` when it was not ejected. When each host decides alone,
 * this is the time until half of the hosts ejected the upstream.
 */
export function measureDetection(
  options: FleetSize & {
    readonly detector: DetectorName;
    readonly fault: Pick<TrafficFault, 'kind' | 'factor' | 'share'>;
    readonly seed: number;
    readonly trials: number;
    readonly maxMs: number;
  },
): readonly number[] {
  const { detector, fault, hosts, upstreams, rate, maxMs } = options;
  const { scope, createDetector } = detectors[detector];
  return Array.from({ length: options.trials }, (_, trial) => {
    // The fault starts at a different phase of the rounds and reports in each trial.
    const fromMs = warmUpMs + ((trial * 37) % 1000);
    const replay = new DetectionReplay({
      ...{ seed: options.seed + trial, hosts, upstreams, rate, scope, createDetector },
      floor: Math.floor(upstreams * 0.7),
      faults: [{ ...fault, upstreams: [0], fromMs }],
    });
    const coordinatorCount = scope === 'pooled' ? 1 : hosts;
    const findEjectionTime = (): number =>
      replay
        .listFirstEjections(0, fromMs)
        .concat(Array(coordinatorCount).fill(Infinity))
        .sort((a, b) => a - b)[Math.ceil(coordinatorCount / 2) - 1] ?? Infinity;
    replay.runUntil(fromMs);
    let end = fromMs;
    while (findEjectionTime() === Infinity && end < fromMs + maxMs) {
      end += 1000;
      replay.runUntil(end);
    }
    return findEjectionTime() - fromMs;
  });
}

/** False ejections so far in a run without faults. */
export interface FalseEjections {
  readonly upstreamDays: number;
  /** Number of ejections; one by a host that decides alone counts as 1 / number of hosts. */
  readonly ejections: number;
  readonly perUpstreamDay: number;
}

const stepsPerUpstreamDay = 50;

/**
 * Counts ejections of healthy upstreams in traffic without faults. The run ends early after the
 * step in which the number of ejections reaches `maxDecisions`, because more would hardly change
 * the rate.
 */
export function measureFalseEjections(
  options: FleetSize & {
    readonly detector: DetectorName;
    readonly seed: number;
    readonly upstreamDays: number;
    readonly maxDecisions?: number;
    readonly report?: (progress: FalseEjections, replay: DetectionReplay) => void;
  },
): FalseEjections {
  const {
    detector,
    hosts,
    upstreams,
    upstreamDays,
    maxDecisions: maxDecisions = Infinity,
    report,
  } = options;
  const { scope, createDetector } = detectors[detector];
  const floor = Math.floor(upstreams * 0.7);
  const replay = new DetectionReplay({ ...options, scope, createDetector, floor, faults: [] });
  let steps = 0;
  let days = 0;
  let progress: FalseEjections = { upstreamDays: 0, ejections: 0, perUpstreamDay: 0 };
  while (days < upstreamDays && replay.ejections.length < maxDecisions) {
    steps += 1;
    days = Math.min(upstreamDays, steps / stepsPerUpstreamDay);
    replay.runUntil((days * 86_400_000) / upstreams);
    const ejections = replay.ejections.length / (scope === 'pooled' ? 1 : hosts);
    progress = { upstreamDays: days, ejections, perUpstreamDay: ejections / days };
    report?.(progress, replay);
  }
  return progress;
}
