import type SoakCheck from '../SoakCheck.ts';
import type { CheckResult } from '../SoakCheck.ts';
import type { HostDisturbance, TimedEvent } from '../SoakEvent.ts';
import type SoakHistory from '../SoakHistory.ts';

/** Time that a caller gives a request. */
export const timeBudgetMs = 3000;
const contactMs = 3000;
// What the users' rule gives a host to close a connection whose request it has not passed on.
const lossSlackMs = 200;
// A hangup, a planned stop and the start after it must not cut requests.
const unplanned: ReadonlySet<HostDisturbance> = new Set(['kill', 'pause', 'resume']);

/**
 * No request is cut by its host once it was passed on, and none that waited longer than the slack,
 * also around a planned stop.
 */
export default class LostCheck implements SoakCheck {
  readonly name = 'LOST';

  checkHistory(history: SoakHistory): CheckResult {
    const sent = history.mapById('request_sent');
    const arrived = history.mapById('request_arrived');
    const violations = history.list('request_cut').flatMap(({ id, at }) => {
      const request = sent.get(id);
      if (!request || this.isExcused(history, request, at)) return [];
      const upstream = arrived.get(id)?.upstream;
      if (upstream !== undefined) {
        return [`request ${id} was passed on to ${upstream} and cut at ${Math.round(at)} ms`];
      }
      const waitedMs = at - request.at - history.measureStalls(request.at, at);
      return waitedMs > lossSlackMs && at < request.at + timeBudgetMs
        ? [
            `request ${id} was cut by ${request.host} after ${Math.round(waitedMs)} ms, at ${Math.round(at)} ms`,
          ]
        : [];
    });
    return { checked: sent.size, violations };
  }

  private isExcused(
    history: SoakHistory,
    { host, at: from }: TimedEvent<'request_sent'>,
    to: number,
  ): boolean {
    return history
      .list('host_disturbed')
      .filter((event) => event.host === host && unplanned.has(event.disturbance))
      .some(({ at }) => at > from - contactMs && at <= to);
  }
}
