// With four buckets per doubling, the error of a bucket is below 19%, which is small compared with
// the factor at which an answer counts as slow.
const bucketsPerDoubling = 4;

/** Number of buckets; the last one begins at 65 s and has no upper edge. */
export const latencyBucketCount = 65;

/** Bucket of a latency in milliseconds; the first bucket contains all latencies below 1.19 ms. */
export function getLatencyBucket(latencyMs: number): number {
  if (latencyMs <= 1) return 0;
  return Math.min(latencyBucketCount - 1, Math.floor(Math.log2(latencyMs) * bucketsPerDoubling));
}

/** Lower edge of a bucket in milliseconds. */
export function getBucketEdge(bucket: number): number {
  return bucket <= 0 ? 0 : 2 ** (bucket / bucketsPerDoubling);
}
