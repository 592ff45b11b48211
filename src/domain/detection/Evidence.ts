/** Counts of latency buckets: bucket, count, bucket, count and so on. */
export type BucketCounts = readonly number[];

/** What one host saw of one upstream since its last report. */
export interface UpstreamEvidence {
  readonly upstream: string;
  /** Answers that were failed, reset, truncated, mismatched or timed out. */
  readonly failed: number;
  /** Requests that passed the slow bound while they were open; each counts once. */
  readonly overdue: number;
  /** Good answers by latency, without those of requests that counted as overdue. */
  readonly latencies: BucketCounts;
  /** Good answers of requests that already counted as overdue. */
  readonly lateLatencies: BucketCounts;
}

/** What one host saw of the upstreams of a service since its last report. */
export default interface ReporterEvidence {
  readonly reporter: string;
  readonly failureDomain: string;
  /** Only upstreams with traffic. */
  readonly upstreams: readonly UpstreamEvidence[];
}
