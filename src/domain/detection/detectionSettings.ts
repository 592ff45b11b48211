import type { DetectionPreference } from '../presets/Preset.ts';

/** Tests of the pooled detector, each on its own kind of evidence. */
export type TestName = 'failed' | 'slow';

/** One test of the pooled detector: how the share of bad answers tells gray from healthy. */
export interface TestSettings {
  /** Least share of bad answers that a healthy upstream is assumed to have. */
  readonly healthyShare: number;
  /** Least share of bad answers that a gray upstream is assumed to have. */
  readonly grayShare: number;
}

/** Settings of the pooled detector. */
export default interface DetectionSettings {
  /**
   * Score (natural logarithm of a likelihood ratio) from which an upstream is gray. False alarms
   * fall by a factor e with each unit, detection takes about one answer more.
   */
  readonly threshold: number;
  /** Largest part of the threshold that the evidence of one reporter can fill. */
  readonly reporterShare: number;
  /** Largest part of the threshold that one failure domain can fill when others have traffic. */
  readonly domainShare: number;
  readonly failed: TestSettings;
  readonly slow: TestSettings;
}

// Well above the noise of the services today, so that a few bad answers in a row are no fault.
const slow: TestSettings = { healthyShare: 0.05, grayShare: 0.6 };

/** Settings for each detection preference of a service. */
export const detectionSettings: Readonly<Record<DetectionPreference, DetectionSettings>> = {
  // Four failures among about 20 answers reach the threshold, three in a row do not.
  fast: {
    threshold: 14.7,
    reporterShare: 0.4,
    domainShare: 0.65,
    failed: { healthyShare: 0.002, grayShare: 0.2 },
    slow,
  },
  sure: {
    threshold: 30,
    reporterShare: 0.25,
    domainShare: 0.65,
    failed: { healthyShare: 0.002, grayShare: 0.1 },
    slow,
  },
};
