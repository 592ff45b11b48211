import type SoakCheck from './SoakCheck.ts';
import type { CheckResult } from './SoakCheck.ts';
import type SoakHistory from './SoakHistory.ts';
import BudgetCheck from './checks/BudgetCheck.ts';
import ConfigCheck from './checks/ConfigCheck.ts';
import DrainCheck from './checks/DrainCheck.ts';
import LostCheck from './checks/LostCheck.ts';
import MixedCheck from './checks/MixedCheck.ts';
import ProcessCheck from './checks/ProcessCheck.ts';
import RecoverCheck from './checks/RecoverCheck.ts';
import RefusedCheck from './checks/RefusedCheck.ts';
import TwiceCheck from './checks/TwiceCheck.ts';

// The limit in the settings of the fleet.
const retryLimit = { share: 0.2, extra: 10, windowMs: 10_000 };

/** All checks of a soak. */
export const soakChecks: readonly SoakCheck[] = [
  new TwiceCheck(),
  new RefusedCheck(),
  new MixedCheck(),
  new DrainCheck(),
  new LostCheck(),
  new ConfigCheck(),
  new BudgetCheck(retryLimit),
  new RecoverCheck(),
  new ProcessCheck(),
];

/** The result of a check, with the name of its rule. */
export interface NamedResult extends CheckResult {
  readonly name: string;
}

/** Checks all promises on the history of a run. */
export default function checkRun(history: SoakHistory): readonly NamedResult[] {
  return soakChecks.map((check) => ({ name: check.name, ...check.checkHistory(history) }));
}
