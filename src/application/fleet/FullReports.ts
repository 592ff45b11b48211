import type ReportFilter from './ReportFilter.ts';

/** Reports every change. */
export default class FullReports implements ReportFilter {
  readonly busyBatchMs: number;

  readonly idleBatchMs: number;

  constructor(batches: { readonly busyBatchMs: number; readonly idleBatchMs: number }) {
    this.busyBatchMs = batches.busyBatchMs;
    this.idleBatchMs = batches.idleBatchMs;
  }

  mayReportOpen(): boolean {
    return true;
  }

  mayRepeatOpen(): boolean {
    return true;
  }

  mayReportLoad(): boolean {
    return true;
  }

  mayReportRecovery(): boolean {
    return true;
  }
}
