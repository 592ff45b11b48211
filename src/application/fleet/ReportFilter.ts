/** Decides which changes an entry host reports in its failure domain, and how soon. */
export default interface ReportFilter {
  /** Time for which changes at busy upstreams may wait for each other, in milliseconds. */
  readonly busyBatchMs: number;
  /** The same for other changes. */
  readonly idleBatchMs: number;
  /**
   * Whether to report the open requests of this host at an upstream. `reported` is what the others
   * count for this host, and `inDomain` all that is known of the domain.
   */
  mayReportOpen(count: {
    readonly own: number;
    readonly reported: number;
    readonly inDomain: number;
  }): boolean;
  /** Whether to repeat the open requests of this host, of which the others count `reported`. */
  mayRepeatOpen(reported: number): boolean;
  /** Whether to report a load; `known` is what the others assume. */
  mayReportLoad(load: number, known: number): boolean;
  /**
   * Whether to report a good answer of an upstream that was last reported to give one at
   * `reportedAt`.
   */
  mayReportRecovery(state: {
    readonly isSuspected: boolean;
    readonly reportedAt: number;
    readonly now: number;
  }): boolean;
}
