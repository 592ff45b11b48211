import type SoakCheck from '../SoakCheck.ts';
import type { CheckResult } from '../SoakCheck.ts';
import type { HostDisturbance } from '../SoakEvent.ts';
import type SoakHistory from '../SoakHistory.ts';

const contactMs = 3000;
// A hangup, a planned stop and the start after it must not cut requests.
const unplanned: ReadonlySet<HostDisturbance> = new Set(['kill', 'pause', 'resume']);

/** No request that was passed on is cut by its host, also around a planned stop. */
export default class LostCheck implements SoakCheck {
  readonly name = 'LOST';

  checkHistory(history: SoakHistory): CheckResult {
    const sent = history.mapById('request_sent');
    const arrived = history.mapById('request_arrived');
    const isExcused = (host: string, from: number, to: number): boolean =>
      history
        .list('host_disturbed')
        .filter((event) => event.host === host && unplanned.has(event.disturbance))
        .some(({ at }) => at > from - contactMs && at <= to);
    const violations = history
      .list('request_cut')
      .filter(({ id }) => arrived.has(id))
      .filter(({ id, at }) => {
        const request = sent.get(id);
        return request !== undefined && !isExcused(request.host, request.at, at);
      })
      .map(({ id }) => `request ${id} was passed on to ${arrived.get(id)?.upstream} and cut`);
    return { checked: sent.size, violations };
  }
}
