import { build } from 'hdr-histogram-js';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import LoadTracker from '../src/application/requests/LoadTracker.ts';
import type Balancer from '../src/domain/requests/Balancer.ts';
import RetryBudget from '../src/domain/requests/RetryBudget.ts';
import SheddingTracker from '../src/domain/requests/SheddingTracker.ts';
import type UsableUpstream from '../src/domain/requests/UsableUpstream.ts';
import EventQueue from './EventQueue.ts';

/** Options of one simulated run. */
export interface SimulationOptions {
  readonly seed: number;
  readonly balancer: Balancer;
  /** Offered load as a share of the capacity of all slots. */
  readonly offeredLoad: number;
  readonly durationMs: number;
  /** Whether a budget limits retries; without it, a refused request is retried at all upstreams. */
  readonly hasBudget: boolean;
  /** Whether load reports count waiting requests besides the slots in use. */
  readonly reportsQueue: boolean;
}

/** Results of one simulated run. */
export interface SimulationResult {
  readonly requests: number;
  /** Requests that were refused at every attempt that they were allowed. */
  readonly refused: number;
  /** Requests whose answer came after the deadline. */
  readonly late: number;
  readonly retries: number;
  readonly medianMs: number;
  /** 99th percentile of the latency. */
  readonly p99Ms: number;
  /** Requests answered by their deadline, per second of simulated time. */
  readonly goodput: number;
}

const hostCount = 44;
const upstreamCount = 12;
const slots = 4;
// Mean processing time of a request.
const meanWorkMs = 25;
// Maximum number of requests in the queue of an upstream; it refuses further ones.
const maxQueue = 8;
// Time for which a refused request occupies one of the upstream's slots.
const refusalMs = 1;
const oneWayDelayMs = 0.5;
const deadlineMs = 500;
const retryShare = 0.1;

interface Job {
  readonly workMs: number;
  readonly isRefusal: boolean;
  readonly end: (isServed: boolean, load: number) => void;
}

interface Upstream {
  readonly usable: UsableUpstream;
  readonly queue: Job[];
  running: number;
  waiting: number;
}

interface Host {
  readonly failureDomain: string;
  readonly loads: LoadTracker;
  readonly budget: RetryBudget;
  readonly shedding: SheddingTracker;
}

interface SimulatedRequest {
  readonly host: Host;
  readonly startedAt: number;
  readonly workMs: number;
  readonly tried: Set<string>;
}

/**
 * Simulates the entry hosts and upstreams of one service, with the balancer, load tracker and retry
 * budget that entry hosts use.
 */
export default class SlotSimulation {
  private readonly options: SimulationOptions;

  // Arrivals have their own generator, so that each balancer gets the same requests.
  private readonly arrivalGenerator;

  private readonly choiceGenerator;

  private readonly events = new EventQueue();

  private readonly upstreams: readonly Upstream[];

  private readonly hosts: readonly Host[];

  private readonly latencies = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e8 });

  private readonly counts = { requests: 0, refused: 0, late: 0, retries: 0, served: 0 };

  constructor(options: SimulationOptions) {
    this.options = options;
    this.arrivalGenerator = xoroshiro128plus(options.seed);
    this.choiceGenerator = xoroshiro128plus(options.seed + 1);
    this.upstreams = Array.from({ length: upstreamCount }, (_, index) => ({
      usable: this.createUsable(index),
      queue: [],
      running: 0,
      waiting: 0,
    }));
    this.hosts = Array.from({ length: hostCount }, (_, index) => ({
      failureDomain: `domain-${index % 3}`,
      loads: new LoadTracker(),
      budget: new RetryBudget(),
      shedding: new SheddingTracker(),
    }));
  }

  /** Simulates the run until every request has ended and returns the results. */
  runSimulation(): SimulationResult {
    this.scheduleArrival();
    this.events.runAll();
    const { requests, refused, late, retries, served } = this.counts;
    return {
      requests,
      refused,
      late,
      retries,
      medianMs: this.latencies.getValueAtPercentile(50) / 1000,
      p99Ms: this.latencies.getValueAtPercentile(99) / 1000,
      goodput: (served * 1000) / this.options.durationMs,
    };
  }

  private createUsable(index: number): UsableUpstream {
    const upstream = `upstream-${index}`;
    const record = {
      ...{ service: 'history', upstream, address: upstream, slots },
      ...{ failureDomain: `domain-${index % 3}`, incarnation: 1, sequence: 1 },
      ...{ state: 'serving' as const, servingSince: 0, leaseDeadline: Infinity },
    };
    return { record, weight: 1 };
  }

  private drawExponential(mean: number): number {
    return -mean * Math.log(1 - uniformFloat64(this.arrivalGenerator));
  }

  private scheduleArrival(): void {
    const meanGapMs = meanWorkMs / (upstreamCount * slots * this.options.offeredLoad);
    const at = this.events.now + this.drawExponential(meanGapMs);
    if (at > this.options.durationMs) return;
    this.events.addEvent(at, () => {
      this.counts.requests += 1;
      const host = this.hosts[
        Math.floor(uniformFloat64(this.arrivalGenerator) * hostCount)
      ] as Host;
      host.budget.addRequest(retryShare);
      const workMs = this.drawExponential(meanWorkMs);
      this.sendAttempt({ host, workMs, startedAt: this.events.now, tried: new Set() });
      this.scheduleArrival();
    });
  }

  private chooseUpstream({ host, tried }: SimulatedRequest): Upstream | undefined {
    const chosen = this.options.balancer.chooseUpstream({
      candidates: this.upstreams
        .map((upstream) => upstream.usable)
        .filter(({ record }) => !tried.has(record.upstream)),
      readLoad: (upstream) => host.loads.readLoad('history', upstream),
      now: this.events.now,
      random: () => uniformFloat64(this.choiceGenerator),
      failureDomain: host.failureDomain,
    });
    return this.upstreams.find((upstream) => upstream.usable === chosen);
  }

  private sendAttempt(request: SimulatedRequest): void {
    const upstream = this.chooseUpstream(request);
    if (!upstream) {
      this.counts.refused += 1;
      return;
    }
    const name = upstream.usable.record.upstream;
    request.tried.add(name);
    request.host.loads.recordStart('history', name);
    const end = (isServed: boolean, reportedLoad: number): void => {
      const { now } = this.events;
      const names = { service: 'history', upstream: name };
      request.host.loads.recordEnd({ ...names, reportedLoad, now });
      request.host.shedding.recordAnswer(name, !isServed, now);
      if (isServed) this.recordServed(request);
      else this.retryRequest(request);
    };
    const { workMs } = request;
    this.events.addEvent(this.events.now + oneWayDelayMs, () =>
      this.acceptJob(upstream, { workMs, isRefusal: false, end }),
    );
  }

  private recordServed(request: SimulatedRequest): void {
    const elapsedMs = this.events.now - request.startedAt;
    this.latencies.recordValue(Math.max(1, Math.round(elapsedMs * 1000)));
    if (elapsedMs <= deadlineMs) this.counts.served += 1;
    else this.counts.late += 1;
  }

  private retryRequest(request: SimulatedRequest): void {
    if (this.mayRetry(request)) {
      this.counts.retries += 1;
      this.sendAttempt(request);
    } else {
      this.counts.refused += 1;
    }
  }

  private mayRetry({ host, startedAt, tried }: SimulatedRequest): boolean {
    if (this.events.now >= startedAt + deadlineMs || tried.size >= upstreamCount) return false;
    if (!this.options.hasBudget) return true;
    const names = this.upstreams.map(({ usable }) => usable.record.upstream);
    if (host.shedding.isServiceFull(names, this.events.now)) return false;
    return host.budget.takeToken();
  }

  private acceptJob(upstream: Upstream, job: Job): void {
    const isRefusal = upstream.waiting >= maxQueue;
    const accepted = isRefusal ? { ...job, workMs: refusalMs, isRefusal } : job;
    if (upstream.running < slots) {
      this.runJob(upstream, accepted);
      return;
    }
    if (!isRefusal) upstream.waiting += 1;
    upstream.queue.push(accepted);
  }

  private runJob(upstream: Upstream, job: Job): void {
    upstream.running += 1;
    this.events.addEvent(this.events.now + job.workMs, () => {
      const load = upstream.running + (this.options.reportsQueue ? upstream.waiting : 0);
      upstream.running -= 1;
      const next = upstream.queue.shift();
      if (next) {
        if (!next.isRefusal) upstream.waiting -= 1;
        this.runJob(upstream, next);
      }
      this.events.addEvent(this.events.now + oneWayDelayMs, () => job.end(!job.isRefusal, load));
    });
  }
}
