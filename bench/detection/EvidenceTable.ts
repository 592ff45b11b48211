import type ReporterEvidence from '../../src/domain/detection/Evidence.ts';
import type { UpstreamEvidence } from '../../src/domain/detection/Evidence.ts';
import { getLatencyBucket, latencyBucketCount } from '../../src/domain/detection/latencyBuckets.ts';
import { domainCount } from './DetectionTraffic.ts';

/** The evidence of one request; `late` is a good answer that already counted as overdue. */
export type EvidenceKind = 'good' | 'late' | 'failed' | 'overdue';

const none: readonly number[] = [];
const kindColumns = { good: 0, late: 1, failed: 2, overdue: 3 } as const;
const kindCount = 4;
const countsPerUpstream = latencyBucketCount * kindCount;
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
 * Maps the evidence of single requests to integer ids, so that requests in flight use little
 * memory: a replay spends most of its time on memory accesses.
 */
export default class EvidenceTable {
  private readonly upstreams: number;

  private readonly reporters: readonly string[];

  /** The evidence of one request, by upstream, latency bucket and kind. */
  private readonly counts: readonly (readonly UpstreamEvidence[])[];

  constructor({ hosts, upstreams }: { readonly hosts: number; readonly upstreams: number }) {
    this.upstreams = upstreams;
    this.reporters = Array.from({ length: hosts }, (_, index) => `entry-${index}`);
    this.counts = Array.from({ length: upstreams * countsPerUpstream }, (_, key) => [
      createCounts(Math.floor(key / countsPerUpstream), key % countsPerUpstream),
    ]);
  }

  /** Returns the id of the evidence of a request. */
  computeId(reporter: number, upstream: number, kind: EvidenceKind, latencyMs: number): number {
    const hasLatency = kind === 'good' || kind === 'late';
    const bucket = hasLatency ? getLatencyBucket(latencyMs) : 0;
    const row = reporter * this.upstreams + upstream;
    return row * countsPerUpstream + bucket * kindCount + kindColumns[kind];
  }

  /** Returns the index of the reporter of the evidence with the id. */
  getReporter(id: number): number {
    return Math.floor(id / (this.upstreams * countsPerUpstream));
  }

  /** Returns the index of the upstream of the evidence with the id. */
  getUpstream(id: number): number {
    return Math.floor(id / countsPerUpstream) % this.upstreams;
  }

  getEvidence(id: number): ReporterEvidence {
    const reporter = this.getReporter(id);
    return {
      reporter: this.reporters[reporter] ?? '',
      failureDomain: domains[reporter % domainCount] ?? '',
      upstreams: this.counts[id % (this.upstreams * countsPerUpstream)] ?? [],
    };
  }
}
