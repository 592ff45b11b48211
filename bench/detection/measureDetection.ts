import DetectionReplay from './DetectionReplay.ts';
import type { TrafficFault } from './DetectionTraffic.ts';
import detectors from './detectors.ts';
import type { DetectorName } from './detectors.ts';

/** Size of a measured fleet. */
export interface MeasuredSize {
  readonly hosts: number;
  readonly upstreams: number;
  /** Answers a second at each upstream, over the whole fleet. */
  readonly rate: number;
}

const warmUpMs = 10_000;

/** The value that the given share of sorted values does not exceed. */
export function takeQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? Infinity;
}

/**
 * Times in milliseconds from the begin of a fault at the first upstream to its ejection, one for
 * each trial; `Infinity` when it was not noticed. A host that decides alone ejects for itself, so
 * there the time is that at which half of the hosts noticed.
 */
export function measureDetection(
  options: MeasuredSize & {
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
    // The fault begins at another phase of the rounds and reports in each trial.
    const fromMs = warmUpMs + ((trial * 37) % 1000);
    const replay = new DetectionReplay({
      ...{ seed: options.seed + trial, hosts, upstreams, rate, scope, createDetector },
      floor: Math.floor(upstreams * 0.7),
      faults: [{ ...fault, upstreams: [0], fromMs }],
    });
    const coordinators = scope === 'pooled' ? 1 : hosts;
    const first = (): number =>
      replay
        .listFirst(0, fromMs)
        .concat(Array(coordinators).fill(Infinity))
        .sort((a, b) => a - b)[Math.ceil(coordinators / 2) - 1] ?? Infinity;
    replay.runUntil(fromMs);
    let end = fromMs;
    while (first() === Infinity && end < fromMs + maxMs) {
      end += 1000;
      replay.runUntil(end);
    }
    return first() - fromMs;
  });
}

/** False ejections of a run in noise, up to its end or to one of its steps. */
export interface FalseEjections {
  readonly upstreamDays: number;
  /** An ejection by a host that decides alone counts as its share of the hosts. */
  readonly ejections: number;
  readonly perUpstreamDay: number;
}

// Steps for each upstream-day.
const noiseSteps = 50;

/**
 * Ejections of healthy upstreams in noise. The run ends early at the first step at which
 * the detectors made `maxDecisions` ejections, because more would hardly
 * change the rate.
 */
export function measureFalseEjections(
  options: MeasuredSize & {
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
    days = Math.min(upstreamDays, steps / noiseSteps);
    replay.runUntil((days * 86_400_000) / upstreams);
    const ejections = replay.ejections.length / (scope === 'pooled' ? 1 : hosts);
    progress = { upstreamDays: days, ejections, perUpstreamDay: ejections / days };
    report?.(progress, replay);
  }
  return progress;
}
