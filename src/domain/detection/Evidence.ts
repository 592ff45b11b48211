/** Latency counts as a flat list of pairs: bucket, count, bucket, count and so on. */
export type BucketCounts = readonly number[];

/** What one host observed of one upstream since its last report. */
export interface UpstreamEvidence {
  readonly upstream: string;
  /** Requests that could not connect, failed, were reset, timed out or got a broken answer. */
  readonly failed: number;
  /** Requests that exceeded the slow bound while they were open; each counts once. */
  readonly overdue: number;
  /** Good answers by latency, except those of requests that counted as overdue. */
  readonly latencies: BucketCounts;
  /** Good answers of requests that already counted as overdue. */
  readonly lateLatencies: BucketCounts;
}

/** What one host observed of the upstreams of a service since its last report. */
export default interface ReporterEvidence {
  readonly reporter: string;
  readonly failureDomain: string;
  /** Only upstreams with traffic. */
  readonly upstreams: readonly UpstreamEvidence[];
}
