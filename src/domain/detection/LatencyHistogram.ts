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
  readonly counts = new Float64Array(latencyBucketCount);

  total = 0;

  addCounts(counts: BucketCounts): void {
    readBucketCounts(counts, (bucket, count) => {
      const index = Math.max(0, Math.min(latencyBucketCount - 1, Math.floor(bucket)));
      this.counts[index] = (this.counts[index] ?? 0) + count;
      this.total += count;
    });
  }

  /** Keeps the given share of the counts. */
  dropOld(keep: number): void {
    this.counts.forEach((count, index) => {
      this.counts[index] = count * keep;
    });
    this.total *= keep;
  }

  /** Adds the counts of another histogram, times a factor. */
  mergeHistogram(other: LatencyHistogram, factor: number): void {
    other.counts.forEach((count, index) => {
      this.counts[index] = (this.counts[index] ?? 0) + count * factor;
    });
    this.total += other.total * factor;
  }

  /** Bucket of the median; undefined while there are too few answers. */
  findMedianBucket(leastAnswers: number): number | undefined {
    if (this.total < leastAnswers) return undefined;
    let rest = this.total / 2;
    const index = this.counts.findIndex((count) => {
      rest -= count;
      return rest <= 0;
    });
    return index < 0 ? undefined : index;
  }
}
