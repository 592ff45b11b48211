import type ReportFilter from './ReportFilter.ts';

/** Reports every change to a control host, which sums them up for the failure domain. */
export default class HubReports implements ReportFilter {
  readonly busyBatchMs = 50;

  readonly idleBatchMs = 100;

  mayReportOpen(): boolean {
    return true;
  }

  mayReportLoad(): boolean {
    return true;
  }

  mayReportRecovery(): boolean {
    return true;
  }
}
