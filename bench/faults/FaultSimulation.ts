import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type SuspicionTracker from '../../src/domain/detection/SuspicionTracker.ts';
import type Balancer from '../../src/domain/requests/Balancer.ts';
import RetryWindow from '../../src/domain/requests/RetryWindow.ts';
import type UsableUpstream from '../../src/domain/requests/UsableUpstream.ts';
import EventQueue from '../EventQueue.ts';

/** A service, its callers and what goes wrong, in simulated time. */
export interface FaultPattern {
  readonly name: string;
  /** Number of upstreams in each failure domain. */
  readonly upstreams: readonly number[];
  /** Upstreams that are gone from the start on, the first ones of the first domains. */
  readonly gone: number;
  readonly slots: number;
  /** Requests that an upstream lets wait before it refuses more. */
  readonly queue: number;
  readonly workMs: number;
  /** Standard deviation of the logarithm of the work. */
  readonly workSpread: number;
  readonly requestsPerSecond: number;
  readonly mayRepeat: boolean;
  /** An answer counts in full up to this time, in milliseconds. */
  readonly objectiveMs: number;
  readonly answerBytes: number;
  /** Each upstream draws anew in this time whether it resets requests, in milliseconds. */
  readonly faultMs: number;
  readonly faultShare: number;
  readonly resetShare: number;
  /** Share of the requests that sound upstreams lose. */
  readonly strayShare: number;
}

/** How one entry host chooses. */
export interface HostPolicy {
  readonly balancer: Balancer;
  readonly suspicions: SuspicionTracker;
}

/** How a pattern ended under a policy. */
export interface FaultOutcome {
  readonly requests: number;
  readonly inTime: number;
  readonly late: number;
  readonly lost: number;
  readonly refused: number;
  readonly retries: number;
  /** Attempts that a faulty upstream reset. */
  readonly resets: number;
  readonly crossedBytes: number;
}

/** Options of a run. */
export interface FaultSimulationOptions {
  readonly pattern: FaultPattern;
  readonly seed: number;
  readonly durationMs: number;
  /** Builds the policy of a host; the model tells it the time. */
  readonly createPolicy: (readNow: () => number) => HostPolicy;
}

const connectMs = 400;
const hopMs = 1;
// What a host does is known to the others of its domain this much later.
const knownLaterMs = 20;
const recoveryLaterMs = 200;
const hostsPerDomain = 15;
const faultyAnswerShare = 0.012;
const maxAttempts = 3;
const retryShare = 0.2;
const retryExtra = 60;
const retryWindowMs = 10_000;

interface Upstream {
  readonly usable: UsableUpstream;
  readonly isGone: boolean;
  readonly phaseMs: number;
  readonly faults: Map<number, boolean>;
  readonly queue: (() => void)[];
  running: number;
}

interface Domain {
  readonly name: string;
  readonly hosts: readonly HostPolicy[];
  readonly inFlight: Map<string, number>;
  /** Loads as upstreams reported them last. */
  readonly loads: Map<string, { readonly load: number; readonly at: number }>;
}

interface Call {
  readonly domain: Domain;
  readonly host: HostPolicy;
  readonly startedAt: number;
  readonly tried: Set<string>;
}

/** Callers, hosts and upstreams of one service with the classes that decide in entry hosts. */
export default class FaultSimulation {
  private readonly options: FaultSimulationOptions;

  private readonly events = new EventQueue();

  // Arrivals and work have their own generator, so that each policy gets the same ones.
  private readonly world;

  private readonly choices;

  private readonly upstreams: readonly Upstream[];

  private readonly domains: readonly Domain[];

  private readonly retryWindow = new RetryWindow({ windowMs: retryWindowMs });

  private readonly counts = {
    requests: 0,
    inTime: 0,
    late: 0,
    lost: 0,
    refused: 0,
    retries: 0,
    resets: 0,
    crossedBytes: 0,
  };

  constructor(options: FaultSimulationOptions) {
    const { pattern, seed, createPolicy } = options;
    this.options = options;
    this.world = xoroshiro128plus(seed);
    this.choices = xoroshiro128plus(seed + 1);
    this.domains = pattern.upstreams.map((_count, index) => ({
      name: `domain-${index}`,
      hosts: Array.from({ length: hostsPerDomain }, () => createPolicy(() => this.events.now)),
      inFlight: new Map<string, number>(),
      loads: new Map<string, { readonly load: number; readonly at: number }>(),
    }));
    this.upstreams = pattern.upstreams.flatMap((count, index) =>
      Array.from({ length: count }, (_, place) => this.createUpstream(index, place)),
    );
  }

  runModel(): FaultOutcome {
    this.addArrival();
    this.events.runAll();
    return this.counts;
  }

  private createUpstream(domain: number, place: number): Upstream {
    const { pattern } = this.options;
    const upstream = `upstream-${domain}-${place}`;
    const record = {
      ...{ service: 'service', upstream, address: upstream, slots: pattern.slots },
      ...{ failureDomain: `domain-${domain}`, incarnation: 1, sequence: 1 },
      ...{ state: 'serving' as const, servingSince: 0, leaseDeadline: Infinity },
    };
    return {
      usable: { record, weight: 1 },
      isGone: place === 0 && domain < pattern.gone,
      phaseMs: this.drawShare() * pattern.faultMs,
      faults: new Map(),
      queue: [],
      running: 0,
    };
  }

  private drawShare(): number {
    return uniformFloat64(this.world);
  }

  private drawWork(): number {
    const { workMs, workSpread } = this.options.pattern;
    const normal =
      Math.sqrt(-2 * Math.log(1 - this.drawShare())) * Math.cos(2 * Math.PI * this.drawShare());
    return workMs * Math.exp(workSpread * normal - workSpread ** 2 / 2);
  }

  private isFaulty(upstream: Upstream): boolean {
    const { faultMs, faultShare } = this.options.pattern;
    const epoch = Math.floor((this.events.now + upstream.phaseMs) / faultMs);
    const known = upstream.faults.get(epoch) ?? this.drawShare() < faultShare;
    upstream.faults.set(epoch, known);
    return known;
  }

  private addArrival(): void {
    const { pattern, durationMs } = this.options;
    const gapMs = (-1000 / pattern.requestsPerSecond) * Math.log(1 - this.drawShare());
    const at = this.events.now + gapMs;
    if (at > durationMs) return;
    this.events.addEvent(at, () => {
      this.counts.requests += 1;
      this.retryWindow.addRequest(at);
      const domain = this.domains[Math.floor(this.drawShare() * this.domains.length)] as Domain;
      const host = domain.hosts[Math.floor(this.drawShare() * hostsPerDomain)] as HostPolicy;
      this.sendAttempt({ domain, host, startedAt: at, tried: new Set() });
      this.addArrival();
    });
  }

  private readScarcity({ tried }: Call): number {
    if (!this.options.pattern.mayRepeat || tried.size + 1 >= maxAttempts) return 1;
    const { taken, allowed } = this.countRetries();
    return Math.min(1, taken / allowed);
  }

  private countRetries(): { readonly taken: number; readonly allowed: number } {
    const { requests, retries } = this.retryWindow.readCounts(this.events.now);
    return { taken: retries, allowed: retryShare * requests + retryExtra };
  }

  private sendAttempt(call: Call): void {
    const { domain, host, tried } = call;
    const { now } = this.events;
    const usable = host.balancer.chooseUpstream({
      candidates: this.upstreams
        .map((upstream) => upstream.usable)
        .filter(({ record }) => !tried.has(record.upstream)),
      retryScarcity: this.readScarcity(call),
      readLoad: (name) => ({
        inFlight: domain.inFlight.get(name) ?? 0,
        reportedLoad: domain.loads.get(name)?.load ?? 0,
        reportedAt: domain.loads.get(name)?.at ?? 0,
      }),
      now,
      random: () => uniformFloat64(this.choices),
      failureDomain: domain.name,
    });
    const upstream = this.upstreams.find((candidate) => candidate.usable === usable);
    if (!upstream) {
      this.counts.refused += 1;
      return;
    }
    tried.add(upstream.usable.record.upstream);
    this.addInFlight(domain, upstream, 1);
    if (upstream.isGone) this.failConnection(call, upstream);
    else this.events.addEvent(now + hopMs, () => this.acceptRequest(call, upstream, now));
  }

  private addInFlight({ inFlight }: Domain, { usable }: Upstream, change: number): void {
    const { upstream } = usable.record;
    const later = this.events.now + (change > 0 ? knownLaterMs : 0);
    this.events.addEvent(later, () => {
      inFlight.set(upstream, (inFlight.get(upstream) ?? 0) + change);
    });
  }

  private failConnection(call: Call, upstream: Upstream): void {
    this.events.addEvent(this.events.now + connectMs, () => {
      this.reportSuspicion(call, upstream, 'unreachable');
      this.addInFlight(call.domain, upstream, -1);
      this.sendAttempt(call);
    });
  }

  private reportSuspicion(call: Call, { usable }: Upstream, kind: 'broken' | 'unreachable'): void {
    const { upstream, incarnation } = usable.record;
    const suspicion = { upstream, incarnation, kind };
    const { now } = this.events;
    if (!call.host.suspicions.addSuspicion(suspicion, now)) return;
    this.domains
      .flatMap(({ hosts }) => hosts)
      .filter((host) => host !== call.host)
      .forEach(({ suspicions }) => suspicions.addSuspicion(suspicion, now, 'other'));
  }

  private reportGoodAnswer({ host, domain }: Call, upstream: string, sentAt: number): void {
    const { now } = this.events;
    const isRecovery = host.suspicions.recordSuccess(upstream, sentAt, now);
    const others = domain.hosts.filter((other) => other !== host);
    if (!isRecovery) return;
    this.events.addEvent(now + recoveryLaterMs, () =>
      others.forEach(({ suspicions }) =>
        suspicions.recordRecovery(upstream, now + recoveryLaterMs),
      ),
    );
  }

  private acceptRequest(call: Call, upstream: Upstream, sentAt: number): void {
    const { resetShare, strayShare, slots, queue } = this.options.pattern;
    const isReset = this.isFaulty(upstream) && this.drawShare() < resetShare;
    if (isReset || this.drawShare() < strayShare) {
      this.counts.resets += 1;
      this.addInFlight(call.domain, upstream, -1);
      this.reportSuspicion(call, upstream, 'broken');
      this.loseAttempt(call);
    } else if (upstream.running < slots) {
      this.runRequest(call, upstream, sentAt);
    } else if (upstream.queue.length < queue) {
      upstream.queue.push(() => this.runRequest(call, upstream, sentAt));
    } else {
      this.addInFlight(call.domain, upstream, -1);
      this.retryCall(call, 'refused');
    }
  }

  private runRequest(call: Call, upstream: Upstream, sentAt: number): void {
    upstream.running += 1;
    this.events.addEvent(this.events.now + this.drawWork() + hopMs, () => {
      const { upstream: name } = upstream.usable.record;
      const load = upstream.running + upstream.queue.length;
      call.domain.loads.set(name, { load, at: this.events.now });
      upstream.running -= 1;
      upstream.queue.shift()?.();
      this.addInFlight(call.domain, upstream, -1);
      this.endRequest(call, upstream, sentAt);
    });
  }

  private endRequest(call: Call, upstream: Upstream, sentAt: number): void {
    if (this.drawShare() < faultyAnswerShare) {
      this.loseAttempt(call);
      return;
    }
    const { record } = upstream.usable;
    const { now } = this.events;
    this.reportGoodAnswer(call, record.upstream, sentAt);
    if (record.failureDomain !== call.domain.name) {
      this.counts.crossedBytes += this.options.pattern.answerBytes;
    }
    if (now - call.startedAt <= this.options.pattern.objectiveMs) this.counts.inTime += 1;
    else this.counts.late += 1;
  }

  private loseAttempt(call: Call): void {
    if (this.options.pattern.mayRepeat) this.retryCall(call, 'lost');
    else this.counts.lost += 1;
  }

  private retryCall(call: Call, otherwise: 'lost' | 'refused'): void {
    const { taken, allowed } = this.countRetries();
    if (taken + 1 > allowed || call.tried.size >= maxAttempts) {
      this.counts[otherwise] += 1;
      return;
    }
    this.retryWindow.addRetry(this.events.now);
    this.counts.retries += 1;
    this.sendAttempt(call);
  }
}
