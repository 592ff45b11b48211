import type SoakCheck from '../SoakCheck.ts';
import type { CheckResult } from '../SoakCheck.ts';
import type SoakHistory from '../SoakHistory.ts';

const recoverMs = 15_000;
const minShare = 0.25;

/** After the last fault has ended, callers are served again. */
export default class RecoverCheck implements SoakCheck {
  readonly name = 'RECOVER';

  checkHistory(history: SoakHistory): CheckResult {
    const answers = history.mapById('request_answered');
    const violations = history.list('faults_ended').flatMap(({ at: endedAt }) => {
      const tried = [...history.list('request_sent'), ...history.list('connection_refused')];
      const late = tried.filter(({ at }) => at > endedAt + recoverMs);
      const served = late.filter((event) => 'id' in event && answers.get(event.id)?.status === 200);
      const isRecovered = late.length > 0 && served.length >= minShare * late.length;
      return isRecovered
        ? []
        : [`${served.length} of ${late.length} requests were served at the end`];
    });
    return { checked: history.list('faults_ended').length, violations };
  }
}
