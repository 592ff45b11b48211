import type SoakCheck from '../SoakCheck.ts';
import type { CheckResult } from '../SoakCheck.ts';
import type SoakHistory from '../SoakHistory.ts';

const applyMs = 2000;

/** An acknowledged preset is in force in time, is read back by then, and is there at the end. */
export default class ConfigCheck implements SoakCheck {
  readonly name = 'CONFIG';

  checkHistory(history: SoakHistory): CheckResult {
    const parts = [this.checkRoutes(history), this.checkReads(history), this.checkEnd(history)];
    return {
      checked: parts.reduce((sum, { checked }) => sum + checked, 0),
      violations: parts.flatMap(({ violations }) => violations),
    };
  }

  /** Services to which a request may go: those of presets sent from the newest one that binds. */
  private listAllowed(history: SoakHistory, sentAt: number): ReadonlySet<string> {
    const binding = this.findNewest(history, sentAt - applyMs);
    return new Set(
      history
        .list('preset_sent')
        .filter(({ number }) => number >= binding)
        .map(({ service }) => service),
    );
  }

  private findNewest(history: SoakHistory, before: number): number {
    const numbers = history
      .list('preset_acknowledged')
      .filter(({ at }) => at < before)
      .map(({ number }) => number);
    return Math.max(0, ...numbers);
  }

  private checkRoutes(history: SoakHistory): CheckResult {
    const sent = history.mapById('request_sent');
    const arrivals = history
      .list('request_arrived')
      .filter(({ id }) => sent.get(id)?.service === 'moving');
    const violations = arrivals
      .filter(({ id, at, service }) => {
        const request = sent.get(id);
        if (!request || history.isDisturbed(request.host, request.at - applyMs, at)) return false;
        return !this.listAllowed(history, request.at).has(service);
      })
      .map(({ id, service }) => `request ${id} went to ${service} by an older preset`);
    return { checked: arrivals.length, violations };
  }

  private checkReads(history: SoakHistory): CheckResult {
    const reads = history.list('preset_read');
    const violations = reads
      .filter(({ number, at, tookMs }) => number < this.findNewest(history, at - tookMs - applyMs))
      .map(({ host, number }) => `${host} answered a read with the older preset ${number}`);
    return { checked: reads.length, violations };
  }

  private checkEnd(history: SoakHistory): CheckResult {
    const last = history.list('last_read');
    const newest = this.findNewest(history, Infinity);
    const violations = last
      .filter(({ number }) => number === undefined || number < newest)
      .map(({ number }) => `preset ${newest} was acknowledged, read at the end: ${number}`);
    return { checked: last.length, violations };
  }
}
