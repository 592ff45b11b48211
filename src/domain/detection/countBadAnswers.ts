import type { UpstreamEvidence } from './Evidence.ts';
import { getLatencyBucket } from './latencyBuckets.ts';
import { readBucketCounts } from './LatencyHistogram.ts';

/**
 * Counts all answers and the bad ones, which failed, are overdue or reached the latency bucket of
 * `slowBoundMs`.
 */
export default function countBadAnswers(
  { failed, overdue, latencies }: UpstreamEvidence,
  slowBoundMs: number,
): { readonly bad: number; readonly total: number } {
  const slowBucket = getLatencyBucket(slowBoundMs);
  let bad = failed + overdue;
  let total = bad;
  readBucketCounts(latencies, (bucket, count) => {
    total += count;
    if (bucket >= slowBucket) bad += count;
  });
  return { bad, total };
}
