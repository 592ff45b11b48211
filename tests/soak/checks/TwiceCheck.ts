import type SoakCheck from '../SoakCheck.ts';
import type { CheckResult } from '../SoakCheck.ts';
import type SoakHistory from '../SoakHistory.ts';

/** A request that must not be repeated runs at most once. */
export default class TwiceCheck implements SoakCheck {
  readonly name = 'TWICE';

  checkHistory(history: SoakHistory): CheckResult {
    const unsafe = history.list('request_sent').filter(({ mayRepeat }) => !mayRepeat);
    const runs = new Map<string, string[]>();
    history.list('request_ran').forEach(({ id, upstream }) => {
      runs.set(id, [...(runs.get(id) ?? []), upstream]);
    });
    const violations = unsafe
      .filter(({ id }) => (runs.get(id)?.length ?? 0) > 1)
      .map(({ id }) => `request ${id} ran at ${runs.get(id)?.join(' and ')}`);
    return { checked: unsafe.length, violations };
  }
}
