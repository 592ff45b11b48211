import type SoakCheck from '../SoakCheck.ts';
import type { CheckResult } from '../SoakCheck.ts';
import type SoakHistory from '../SoakHistory.ts';

const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A request that must not be repeated and is refused as not run has not run. */
export default class RefusedCheck implements SoakCheck {
  readonly name = 'REFUSED';

  checkHistory(history: SoakHistory): CheckResult {
    const sent = history.mapById('request_sent');
    const ran = history.mapById('request_ran');
    const refused = history
      .list('request_answered')
      .filter(({ id, status }) => notRunStatuses.has(status) && !sent.get(id)?.mayRepeat);
    const violations = refused
      .filter(({ id }) => ran.has(id))
      .map(({ id, status }) => `request ${id} ran at ${ran.get(id)?.upstream}, answered ${status}`);
    return { checked: refused.length, violations };
  }
}
