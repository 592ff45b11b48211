import type SoakCheck from '../SoakCheck.ts';
import type { CheckResult } from '../SoakCheck.ts';
import type SoakHistory from '../SoakHistory.ts';

const drainMs = 2000;

/** A leaving upstream gets no request that was sent after the time to drain. */
export default class DrainCheck implements SoakCheck {
  readonly name = 'DRAIN';

  checkHistory(history: SoakHistory): CheckResult {
    const sent = history.mapById('request_sent');
    const left = history.list('leaving_acknowledged');
    const violations = left.flatMap(({ upstream, at: leftAt }) =>
      history
        .list('request_arrived')
        .filter((arrival) => arrival.upstream === upstream)
        .filter(({ id, at }) => {
          const request = sent.get(id);
          return (
            request !== undefined &&
            request.at > leftAt + drainMs &&
            !history.isDisturbed(request.host, leftAt, at)
          );
        })
        .map(
          ({ id, at }) => `request ${id} reached ${upstream} ${Math.round(at - leftAt)} ms later`,
        ),
    );
    return { checked: left.length, violations };
  }
}
