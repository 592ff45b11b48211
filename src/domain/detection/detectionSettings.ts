import type { DetectionPreference } from '../presets/Preset.ts';

/** Tests of the pooled detector: on failures and on slow answers. */
export type TestName = 'failed' | 'slow';

/** Settings of one test: the shares of bad answers that distinguish gray from healthy upstreams. */
export interface TestSettings {
  /** Minimum share of bad answers that a healthy upstream is assumed to have. */
  readonly healthyShare: number;
  /** Minimum share of bad answers that a gray upstream is assumed to have. */
  readonly grayShare: number;
}

/** Settings of the pooled detector. */
export default interface DetectionSettings {
  /**
   * Score (natural logarithm of a likelihood ratio) at which an upstream is gray. Each additional
   * unit reduces false alarms by a factor of e and delays detection by about one answer.
   */
  readonly threshold: number;
  /** Maximum share of the threshold that the evidence of one reporter can contribute. */
  readonly reporterShare: number;
  /**
   * Maximum share of the threshold that the evidence of one failure domain can contribute when
   * other domains have traffic too.
   */
  readonly domainShare: number;
  readonly failed: TestSettings;
  readonly slow: TestSettings;
}

// The shares are well above the noise of the services, so that a few consecutive slow answers are
// not a fault.
const slow: TestSettings = { healthyShare: 0.05, grayShare: 0.6 };

/** Settings for each detection preference of a service. */
export const detectionSettings: Readonly<Record<DetectionPreference, DetectionSettings>> = {
  // Four failures among about 20 answers reach the threshold; three consecutive ones do not.
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
