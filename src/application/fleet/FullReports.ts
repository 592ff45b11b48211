import type ReportFilter from './ReportFilter.ts';

/** Reports every change, for failure domains of few hosts. */
export default class FullReports implements ReportFilter {
  // Other hosts may be about to choose the same upstream. The short delay puts the start and the
  // end of requests into one message.
  readonly busyBatchMs = 20;

  // A host sends only about one request in half a second.
  readonly idleBatchMs = 400;

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
