import { build } from 'hdr-histogram-js';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import LoadTracker from '../src/application/requests/LoadTracker.ts';
import type Balancer from '../src/domain/requests/Balancer.ts';
import IdempotentRetryPolicy from '../src/domain/requests/IdempotentRetryPolicy.ts';
import RetryBudget from '../src/domain/requests/RetryBudget.ts';
import SheddingTracker from '../src/domain/requests/SheddingTracker.ts';
import type UsableUpstream from '../src/domain/requests/UsableUpstream.ts';
import EventQueue from './EventQueue.ts';

/** What one simulated run varies. */
export interface SimulationOptions {
  readonly seed: number;
  readonly balancer: Balancer;
  /** Offered work as a share of all slots. */
  readonly use: number;
  readonly durationMs: number;
  /** Without it every refused request is retried at each upstream in turn. */
  readonly hasBudget: boolean;
  /** Whether load reports count waiting requests besides the slots in use. */
  readonly reportsQueue: boolean;
}

/** What one simulated run gave. */
export interface SimulationResult {
  readonly requests: number;
  /** Requests that every allowed attempt refused. */
  readonly refused: number;
  /** Requests whose answer came after the deadline. */
  readonly late: number;
  readonly retries: number;
  readonly medianMs: number;
  readonly highMs: number;
  /** Requests answered in time, per second. */
  readonly goodput: number;
}

const hostCount = 44;
const upstreamCount = 12;
const slots = 4;
const serviceMs = 25;
// Requests that an upstream lets wait before it sheds load.
const maxQueue = 8;
// An upstream reads and refuses a request in this time, on one of its slots.
const refusalMs = 1;
const oneWayMs = 0.5;
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

interface Call {
  readonly host: Host;
  readonly startedAt: number;
  readonly workMs: number;
  readonly tried: Set<string>;
}

/** Hosts and upstreams of one service in simulated time, with the classes that entry hosts use. */
export default class SlotSimulation {
  private readonly options: SimulationOptions;

  // Arrivals have their own generator, so that each balancer gets the same requests.
  private readonly arrivals;

  private readonly choices;

  private readonly events = new EventQueue();

  private readonly upstreams: readonly Upstream[];

  private readonly hosts: readonly Host[];

  private readonly latencies = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e8 });

  private readonly counts = { requests: 0, refused: 0, late: 0, retries: 0, served: 0 };

  constructor(options: SimulationOptions) {
    this.options = options;
    this.arrivals = xoroshiro128plus(options.seed);
    this.choices = xoroshiro128plus(options.seed + 1);
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

  runSimulation(): SimulationResult {
    this.addArrival();
    this.events.runAll();
    const { requests, refused, late, retries, served } = this.counts;
    return {
      requests,
      refused,
      late,
      retries,
      medianMs: this.latencies.getValueAtPercentile(50) / 1000,
      highMs: this.latencies.getValueAtPercentile(99) / 1000,
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
    return -mean * Math.log(1 - uniformFloat64(this.arrivals));
  }

  private addArrival(): void {
    const meanGapMs = serviceMs / (upstreamCount * slots * this.options.use);
    const at = this.events.now + this.drawExponential(meanGapMs);
    if (at > this.options.durationMs) return;
    this.events.addEvent(at, () => {
      this.counts.requests += 1;
      const host = this.hosts[Math.floor(uniformFloat64(this.arrivals) * hostCount)] as Host;
      host.budget.addRequest(retryShare);
      const workMs = this.drawExponential(serviceMs);
      this.sendAttempt({ host, workMs, startedAt: this.events.now, tried: new Set() });
      this.addArrival();
    });
  }

  private chooseUpstream({ host, tried }: Call): Upstream | undefined {
    const usable = this.options.balancer.chooseUpstream({
      candidates: this.upstreams
        .map((upstream) => upstream.usable)
        .filter(({ record }) => !tried.has(record.upstream)),
      readLoad: (upstream) => host.loads.readLoad('history', upstream),
      now: this.events.now,
      random: () => uniformFloat64(this.choices),
      failureDomain: host.failureDomain,
    });
    return this.upstreams.find((upstream) => upstream.usable === usable);
  }

  private sendAttempt(call: Call): void {
    const upstream = this.chooseUpstream(call);
    if (!upstream) {
      this.counts.refused += 1;
      return;
    }
    const name = upstream.usable.record.upstream;
    call.tried.add(name);
    call.host.loads.recordStart('history', name);
    const end = (isServed: boolean, reportedLoad: number): void => {
      const { now } = this.events;
      const names = { service: 'history', upstream: name };
      call.host.loads.recordEnd({ ...names, reportedLoad, now });
      call.host.shedding.recordAnswer(name, !isServed, now);
      if (isServed) this.recordServed(call);
      else this.retryCall(call);
    };
    const { workMs } = call;
    this.events.addEvent(this.events.now + oneWayMs, () =>
      this.acceptJob(upstream, { workMs, isRefusal: false, end }),
    );
  }

  private recordServed(call: Call): void {
    const elapsedMs = this.events.now - call.startedAt;
    this.latencies.recordValue(Math.max(1, Math.round(elapsedMs * 1000)));
    if (elapsedMs <= deadlineMs) this.counts.served += 1;
    else this.counts.late += 1;
  }

  private retryCall(call: Call): void {
    if (this.mayRetry(call)) {
      this.counts.retries += 1;
      this.sendAttempt(call);
    } else {
      this.counts.refused += 1;
    }
  }

  private mayRetry({ host, startedAt, tried }: Call): boolean {
    if (this.events.now >= startedAt + deadlineMs || tried.size >= upstreamCount) return false;
    if (!this.options.hasBudget) return true;
    const names = this.upstreams.map(({ usable }) => usable.record.upstream);
    if (host.shedding.isServiceShedding(names, this.events.now)) return false;
    return new IdempotentRetryPolicy(host.budget).mayRetry('not_run');
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
      this.events.addEvent(this.events.now + oneWayMs, () => job.end(!job.isRefusal, load));
    });
  }
}
