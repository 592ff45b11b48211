import type { DetectionPreference } from '../presets/Preset.ts';

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

const failed: TestSettings = { healthyShare: 0.002, grayShare: 0.1 };
const slow: TestSettings = { healthyShare: 0.02, grayShare: 0.4 };

/** Settings for each detection preference of a service. */
export const detectionSettings: Readonly<Record<DetectionPreference, DetectionSettings>> = {
  fast: { threshold: 17, reporterShare: 0.4, domainShare: 0.65, failed, slow },
  sure: { threshold: 30, reporterShare: 0.25, domainShare: 0.65, failed, slow },
};
