import type { AnswerClass } from '../requests/AttemptObservation.ts';
import type AttemptObservation from '../requests/AttemptObservation.ts';
import type { UpstreamEvidence } from './Evidence.ts';
import { getLatencyBucket } from './latencyBuckets.ts';

interface OpenRequest {
  readonly upstream: string;
  readonly startedAt: number;
  isOverdue: boolean;
}

interface Counts {
  failed: number;
  overdue: number;
  readonly latencies: Map<number, number>;
  readonly lateLatencies: Map<number, number>;
}

interface ServiceCounts {
  slowBoundMs: number | undefined;
  readonly open: Map<string, OpenRequest>;
  upstreams: Map<string, Counts>;
}

// Shed, misplaced and cancelled requests are not evidence of a fault of the upstream.
const evidenceKinds: Readonly<Record<AnswerClass, 'good' | 'failed' | 'none'>> = {
  good: 'good',
  failed: 'failed',
  reset: 'failed',
  truncated: 'failed',
  mismatched: 'failed',
  timed_out: 'failed',
  unreachable: 'failed',
  shed: 'none',
  misplaced: 'none',
  cancelled: 'none',
};

/** Collects the evidence of one host's requests to upstreams between two reports. */
export default class EvidenceCollector {
  private readonly services = new Map<string, ServiceCounts>();

  recordStart(request: {
    readonly requestId: string;
    readonly service: string;
    readonly upstream: string;
    readonly startedAt: number;
  }): void {
    const { requestId, service, upstream, startedAt } = request;
    this.getService(service).open.set(requestId, { upstream, startedAt, isOverdue: false });
  }

  recordEnd(requestId: string, observation: AttemptObservation): void {
    const service = this.getService(observation.service);
    const isOverdue = service.open.get(requestId)?.isOverdue ?? false;
    service.open.delete(requestId);
    const kind = evidenceKinds[observation.answerClass];
    if (kind === 'none') return;
    const counts = this.getCounts(service, observation.upstream);
    if (kind === 'failed') {
      counts.failed += 1;
      return;
    }
    const latencies = isOverdue ? counts.lateLatencies : counts.latencies;
    const bucket = getLatencyBucket(observation.endedAt - observation.startedAt);
    latencies.set(bucket, (latencies.get(bucket) ?? 0) + 1);
  }

  /** Sets the latency at or above which an open request counts as overdue, in milliseconds. */
  setSlowBound(service: string, slowBoundMs: number | undefined): void {
    this.getService(service).slowBoundMs = slowBoundMs;
  }

  /** Marks the overdue requests of a service, then returns and resets its counts. */
  takeEvidence(service: string, now: number): readonly UpstreamEvidence[] {
    const counts = this.getService(service);
    this.markOverdue(counts, now);
    const { upstreams } = counts;
    counts.upstreams = new Map();
    return [...upstreams].map(([upstream, { failed, overdue, latencies, lateLatencies }]) => ({
      upstream,
      failed,
      overdue,
      latencies: [...latencies].flat(),
      lateLatencies: [...lateLatencies].flat(),
    }));
  }

  private markOverdue(service: ServiceCounts, now: number): void {
    const { slowBoundMs } = service;
    if (slowBoundMs === undefined) return;
    service.open.forEach((entry) => {
      if (entry.isOverdue || now - entry.startedAt < slowBoundMs) return;
      entry.isOverdue = true;
      this.getCounts(service, entry.upstream).overdue += 1;
    });
  }

  private getService(service: string): ServiceCounts {
    const known = this.services.get(service);
    if (known) return known;
    const counts = { slowBoundMs: undefined, open: new Map(), upstreams: new Map() };
    this.services.set(service, counts);
    return counts;
  }

  private getCounts(service: ServiceCounts, upstream: string): Counts {
    const known = service.upstreams.get(upstream);
    if (known) return known;
    const counts = { failed: 0, overdue: 0, latencies: new Map(), lateLatencies: new Map() };
    service.upstreams.set(upstream, counts);
    return counts;
  }
}
