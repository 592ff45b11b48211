import { latencyBucketCount } from './latencyBuckets.ts';
import type { BucketCounts } from './Evidence.ts';

/** Calls the visitor with each bucket and its count. */
export function readBucketCounts(
  counts: BucketCounts,
  visit: (bucket: number, count: number) => void,
): void {
  counts.forEach((bucket, index) => {
    if (index % 2 === 0) visit(bucket, counts[index + 1] ?? 0);
  });
}

/** Exponentially decayed counts of answers by latency bucket. */
export default class LatencyHistogram {
  // V8 inlines callbacks on a plain array, but not on a typed array.
  readonly counts: number[] = Array.from({ length: latencyBucketCount }, () => 0);

  total = 0;

  addCounts(counts: BucketCounts): void {
    readBucketCounts(counts, (bucket, count) => {
      const index = Math.max(0, Math.min(latencyBucketCount - 1, Math.floor(bucket)));
      this.counts[index] = (this.counts[index] ?? 0) + count;
      this.total += count;
    });
  }

  /** Multiplies the counts by the factor. */
  decayCounts(factor: number): void {
    this.counts.forEach((count, index) => {
      this.counts[index] = count * factor;
    });
    this.total *= factor;
  }

  /** Adds the counts of another histogram. */
  mergeHistogram(other: LatencyHistogram): void {
    other.counts.forEach((count, index) => {
      this.counts[index] = (this.counts[index] ?? 0) + count;
    });
    this.total += other.total;
  }

  /**
   * Bucket of the median latency, or undefined while there are too few answers. The median is that
   * without the answers of `excluded`, which must be included in this histogram.
   */
  findMedianBucket(minAnswers: number, excluded?: LatencyHistogram): number | undefined {
    const total = this.total - (excluded?.total ?? 0);
    if (total < minAnswers) return undefined;
    let remaining = total / 2;
    const index = this.counts.findIndex((count, bucket) => {
      remaining -= count - (excluded?.counts[bucket] ?? 0);
      return remaining <= 0;
    });
    return index < 0 ? undefined : index;
  }
}
