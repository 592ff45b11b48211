import RetryOracle from '../../fixtures/RetryOracle.ts';
import type { RetryLimit } from '../../fixtures/RetryOracle.ts';
import type SoakCheck from '../SoakCheck.ts';
import type { CheckResult } from '../SoakCheck.ts';
import type SoakHistory from '../SoakHistory.ts';

/** A service gets no more repeats than its retry budget allows in any window. */
export default class BudgetCheck implements SoakCheck {
  readonly name = 'BUDGET';

  private readonly limit: RetryLimit;

  constructor(limit: RetryLimit) {
    this.limit = limit;
  }

  checkHistory(history: SoakHistory): CheckResult {
    const oracle = new RetryOracle(this.limit);
    const seen = new Set<string>();
    const sent = history.mapById('request_sent');
    const repeats = history.list('request_arrived').filter(({ id, at, service }) => {
      const isRepeat = seen.has(id);
      seen.add(id);
      if (isRepeat) oracle.recordRetry(service, at);
      else oracle.recordRequest(service, sent.get(id)?.at ?? at);
      return isRepeat;
    });
    const violations = oracle
      .listExceeded()
      .map(
        ({ service, from, retries, allowed }) =>
          `${service} got ${retries} repeats in the window from ${Math.round(from)} ms, ${allowed.toFixed(1)} allowed`,
      );
    return { checked: repeats.length, violations };
  }
}
