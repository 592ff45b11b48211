import type ReporterEvidence from '../../src/domain/detection/Evidence.ts';
import type { UpstreamEvidence } from '../../src/domain/detection/Evidence.ts';
import { getLatencyBucket, latencyBucketCount } from '../../src/domain/detection/latencyBuckets.ts';
import { domainCount } from './DetectionTraffic.ts';

/** What a report says of one request: `late` is a good answer that already counted as overdue. */
export type EvidenceKind = 'good' | 'late' | 'failed' | 'overdue';

const none: readonly number[] = [];
const kindColumns = { good: 0, late: 1, failed: 2, overdue: 3 } as const;
const kindCount = 4;
const countsOfUpstream = latencyBucketCount * kindCount;
const domains = Array.from({ length: domainCount }, (_, index) => `domain-${index}`);
const bucketCounts = Array.from({ length: latencyBucketCount }, (_, bucket) => [bucket, 1]);

function createCounts(index: number, key: number): UpstreamEvidence {
  const latencies = bucketCounts[Math.floor(key / kindCount)] ?? none;
  const column = key % kindCount;
  return {
    upstream: `u${index}`,
    failed: column === kindColumns.failed ? 1 : 0,
    overdue: column === kindColumns.overdue ? 1 : 0,
    latencies: column === kindColumns.good ? latencies : none,
    lateLatencies: column === kindColumns.late ? latencies : none,
  };
}

/**
 * Evidence of single requests under small numbers, so that requests under way take little memory:
 * most of the time of a replay is spent waiting for memory.
 */
export default class EvidenceTable {
  private readonly upstreams: number;

  private readonly reporters: readonly string[];

  /** What a report says of one request, by upstream, latency bucket and kind. */
  private readonly counts: readonly (readonly UpstreamEvidence[])[];

  constructor({ hosts, upstreams }: { readonly hosts: number; readonly upstreams: number }) {
    this.upstreams = upstreams;
    this.reporters = Array.from({ length: hosts }, (_, index) => `entry-${index}`);
    this.counts = Array.from({ length: upstreams * countsOfUpstream }, (_, key) => [
      createCounts(Math.floor(key / countsOfUpstream), key % countsOfUpstream),
    ]);
  }

  /** Number of the evidence of a request. */
  findNumber(reporter: number, upstream: number, kind: EvidenceKind, latencyMs: number): number {
    const hasLatency = kind === 'good' || kind === 'late';
    const bucket = hasLatency ? getLatencyBucket(latencyMs) : 0;
    const row = reporter * this.upstreams + upstream;
    return row * countsOfUpstream + bucket * kindCount + kindColumns[kind];
  }

  /** Index of the reporter of numbered evidence. */
  getReporter(number: number): number {
    return Math.floor(number / (this.upstreams * countsOfUpstream));
  }

  /** Index of the upstream of numbered evidence. */
  getUpstream(number: number): number {
    return Math.floor(number / countsOfUpstream) % this.upstreams;
  }

  getEvidence(number: number): ReporterEvidence {
    const reporter = this.getReporter(number);
    return {
      reporter: this.reporters[reporter] ?? '',
      failureDomain: domains[reporter % domainCount] ?? '',
      upstreams: this.counts[number % (this.upstreams * countsOfUpstream)] ?? [],
    };
  }
}
