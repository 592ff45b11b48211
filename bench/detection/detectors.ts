import ConsecutiveFailuresDetector from '../../src/domain/detection/ConsecutiveFailuresDetector.ts';
import type Detector from '../../src/domain/detection/Detector.ts';
import { detectionSettings } from '../../src/domain/detection/detectionSettings.ts';
import PooledDetector from '../../src/domain/detection/PooledDetector.ts';
import SuccessRateDetector from '../../src/domain/detection/SuccessRateDetector.ts';
import type { ReplayScope } from './DetectionReplay.ts';

/** Names of the detectors that are compared. */
export type DetectorName = 'fast' | 'sure' | 'consecutive' | 'success_rate';

/** A detector and whether the coordinator or each host runs it. */
export interface ComparedDetector {
  readonly scope: ReplayScope;
  readonly createDetector: () => Detector;
}

// Four times the median latency of the generated traffic.
const slowBoundMs = 100;

/** The detectors that are compared. */
const detectors: Readonly<Record<DetectorName, ComparedDetector>> = {
  fast: {
    scope: 'pooled',
    createDetector: () => new PooledDetector({ settings: detectionSettings.fast }),
  },
  sure: {
    scope: 'pooled',
    createDetector: () => new PooledDetector({ settings: detectionSettings.sure }),
  },
  consecutive: {
    scope: 'each_host',
    createDetector: () => new ConsecutiveFailuresDetector({ maxFailures: 5, slowBoundMs }),
  },
  success_rate: {
    scope: 'each_host',
    createDetector: () =>
      new SuccessRateDetector({
        deviations: 1.9,
        minAnswers: 5,
        halfLifeMs: 10_000,
        slowBoundMs,
      }),
  },
};

export default detectors;
