import type SoakHistory from './SoakHistory.ts';

/** What was checked, and what broke the rule. */
export interface CheckResult {
  /** Number of cases to which the rule applied. */
  readonly checked: number;
  readonly violations: readonly string[];
}

/** Checks one promise on what callers, upstreams and the operator saw. */
export default interface SoakCheck {
  /** Name of the rule. */
  readonly name: string;
  checkHistory(history: SoakHistory): CheckResult;
}
