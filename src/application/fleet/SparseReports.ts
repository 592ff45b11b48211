import type ReportFilter from './ReportFilter.ts';

// An upstream with fewer open requests has free slots, whoever sends the next request.
const busyCount = 2;
// A smaller difference of loads hardly changes a choice.
const minLoadChange = 2;
// A good answer proves an upstream for seconds, whichever host got it.
const recoveryRepeatMs = 1000;

/**
 * Reports what may change the choices of other hosts. Each report goes to every other host, so in a
 * large failure domain the reports of all changes would arrive late and take up processor time.
 */
export default class SparseReports implements ReportFilter {
  readonly busyBatchMs = 100;

  readonly idleBatchMs = 1000;

  mayReportOpen(count: {
    readonly own: number;
    readonly reported: number;
    readonly inDomain: number;
  }): boolean {
    return count.inDomain >= busyCount ? count.own !== count.reported : count.reported > 0;
  }

  mayRepeatOpen(reported: number): boolean {
    return reported > 0;
  }

  mayReportLoad(load: number, known: number): boolean {
    return Math.abs(load - known) >= minLoadChange;
  }

  mayReportRecovery(state: {
    readonly isSuspected: boolean;
    readonly reportedAt: number;
    readonly now: number;
  }): boolean {
    return state.isSuspected || state.now >= state.reportedAt + recoveryRepeatMs;
  }
}
