import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type SuspicionTracker from '../../src/domain/detection/SuspicionTracker.ts';
import type Balancer from '../../src/domain/requests/Balancer.ts';
import estimateLoad from '../../src/domain/requests/estimateLoad.ts';
import type UsableUpstream from '../../src/domain/requests/UsableUpstream.ts';
import EventQueue from '../EventQueue.ts';
import DomainLoads from './DomainLoads.ts';
import type { FaultOutcome, FaultPattern } from './FaultPattern.ts';
import HostConnections from './HostConnections.ts';
import RetryWindow from './RetryWindow.ts';
import findTrait from './UpstreamTrait.ts';
import type { UpstreamTrait } from './UpstreamTrait.ts';

export type { FaultOutcome, FaultPattern } from './FaultPattern.ts';

/** The balancer of one entry host and the suspicions that it tracks. */
export interface HostPolicy {
  readonly balancer: Balancer;
  readonly suspicions: SuspicionTracker;
}

/** Options of a simulation. */
export interface FaultSimulationOptions {
  readonly pattern: FaultPattern;
  readonly seed: number;
  readonly durationMs: number;
  /** Builds the policy of a host; `readNow` returns the simulated time in milliseconds. */
  readonly createPolicy: (readNow: () => number) => HostPolicy;
}

const connectTimeoutMs = 400;
const oneWayDelayMs = 1;
// A recovery that a host observed reaches the other hosts of its failure domain after this delay.
const recoveryDelayMs = 200;
const defaultHostsPerDomain = 15;
const defaultExchangeDelayMs = 20;
const defaultKeepAliveMs = 4000;
// As in src/daemon/fleetTimes.ts.
const loadHalfLifeMs = 800;
// Share of the answers of each upstream that are faulty.
const faultyAnswerShare = 0.012;
const maxAttempts = 3;
// The retries in a window may be `retryShare` of its requests plus `retryExtra`.
const retryShare = 0.2;
const retryExtra = 60;
const retryWindowMs = 10_000;

interface Upstream {
  readonly usable: UsableUpstream;
  /** Position in its failure domain. */
  readonly position: number;
  readonly isUnreachable: boolean;
  /** Offset of the fault periods of this upstream. */
  readonly faultOffsetMs: number;
  /** Whether the upstream is faulty, by fault period. */
  readonly faults: Map<number, boolean>;
  readonly queue: (() => void)[];
  running: number;
  /** Requests that it ran. */
  ran: number;
}

interface Domain {
  readonly name: string;
  readonly hosts: readonly HostPolicy[];
  readonly loads: DomainLoads;
}

interface SimulatedRequest {
  readonly domain: Domain;
  readonly host: HostPolicy;
  readonly startedAt: number;
  readonly tried: Set<string>;
  readonly mayRepeat: boolean;
}

/**
 * Simulates callers, entry hosts and upstreams of one service, with the balancers, suspicions and
 * retry window that entry hosts use.
 */
export default class FaultSimulation {
  private readonly options: FaultSimulationOptions;

  private readonly events = new EventQueue();

  // Arrivals and processing times have their own generator, so that each policy gets the same ones.
  private readonly workloadGenerator;

  private readonly choiceGenerator;

  private readonly upstreams: readonly Upstream[];

  /** The upstreams as hosts see them without traits. */
  private readonly usable: readonly UsableUpstream[];

  private readonly domains: readonly Domain[];

  private readonly connections: HostConnections;

  private readonly retryWindow = new RetryWindow({ windowMs: retryWindowMs });

  private readonly counts = {
    requests: 0,
    inTime: 0,
    late: 0,
    lost: 0,
    refused: 0,
    retries: 0,
    resets: 0,
    crossDomainBytes: 0,
  };

  constructor(options: FaultSimulationOptions) {
    const { pattern, seed, createPolicy } = options;
    this.options = options;
    this.connections = new HostConnections({
      keepAliveMs: pattern.keepAliveMs ?? defaultKeepAliveMs,
    });
    this.workloadGenerator = xoroshiro128plus(seed);
    this.choiceGenerator = xoroshiro128plus(seed + 1);
    this.domains = pattern.upstreams.map((_count, index) => ({
      name: `domain-${index}`,
      hosts: Array.from({ length: pattern.hostsPerDomain ?? defaultHostsPerDomain }, () =>
        createPolicy(() => this.events.now),
      ),
      loads: new DomainLoads({
        events: this.events,
        delayMs: pattern.exchangeDelayMs ?? defaultExchangeDelayMs,
      }),
    }));
    this.upstreams = pattern.upstreams.flatMap((count, index) =>
      Array.from({ length: count }, (_, position) => this.createUpstream(index, position)),
    );
    this.usable = this.upstreams.map(({ usable }) => usable);
  }

  /** Simulates the run until every request has ended and returns the counts. */
  runSimulation(): FaultOutcome {
    this.scheduleArrival();
    this.events.runAll();
    const ran = this.upstreams.map((upstream) => upstream.ran);
    const mean = ran.reduce((sum, count) => sum + count, 0) / ran.length;
    return {
      ...this.counts,
      opened: this.connections.openedCount,
      busiestOverMean: Math.max(...ran) / mean,
    };
  }

  private createUpstream(domain: number, position: number): Upstream {
    const { pattern } = this.options;
    const upstream = `upstream-${domain}-${position}`;
    const record = {
      ...{ service: 'service', upstream, address: upstream, slots: pattern.slots },
      ...{ failureDomain: `domain-${domain}`, incarnation: 1, sequence: 1 },
      ...{ state: 'serving' as const, servingSince: 0, leaseDeadline: Infinity },
    };
    return {
      usable: { record, weight: 1 },
      position,
      isUnreachable: position === 0 && domain < pattern.unreachableCount,
      faultOffsetMs: this.drawUniform() * pattern.faultMs,
      faults: new Map(),
      queue: [],
      running: 0,
      ran: 0,
    };
  }

  private drawUniform(): number {
    return uniformFloat64(this.workloadGenerator);
  }

  private drawWorkMs(): number {
    const { workMs, workSpread } = this.options.pattern;
    const normal =
      Math.sqrt(-2 * Math.log(1 - this.drawUniform())) * Math.cos(2 * Math.PI * this.drawUniform());
    return workMs * Math.exp(workSpread * normal - workSpread ** 2 / 2);
  }

  private isFaulty(upstream: Upstream): boolean {
    const { faultMs, faultShare } = this.options.pattern;
    const period = Math.floor((this.events.now + upstream.faultOffsetMs) / faultMs);
    const isFaulty = upstream.faults.get(period) ?? this.drawUniform() < faultShare;
    upstream.faults.set(period, isFaulty);
    return isFaulty;
  }

  private scheduleArrival(): void {
    const { pattern, durationMs } = this.options;
    const gapMs = (-1000 / pattern.requestsPerSecond) * Math.log(1 - this.drawUniform());
    const at = this.events.now + gapMs;
    if (at > durationMs) return;
    this.events.addEvent(at, () => {
      this.counts.requests += 1;
      this.retryWindow.addRequest(at);
      const domain = this.drawDomain();
      const host = domain.hosts[Math.floor(this.drawUniform() * domain.hosts.length)] as HostPolicy;
      this.sendAttempt({
        ...{ domain, host, startedAt: at, tried: new Set<string>() },
        mayRepeat: this.drawMayRepeat(),
      });
      this.scheduleArrival();
    });
  }

  private drawDomain(): Domain {
    const { demand = this.domains.map(() => 1) } = this.options.pattern;
    const total = demand.reduce((sum, part) => sum + part, 0);
    let rest = this.drawUniform() * total;
    const index = demand.findIndex((part) => {
      rest -= part;
      return rest < 0;
    });
    return this.domains[index] as Domain;
  }

  private drawMayRepeat(): boolean {
    const { isIdempotent, singleRunShare = 0 } = this.options.pattern;
    return isIdempotent && (singleRunShare === 0 || this.drawUniform() >= singleRunShare);
  }

  private getTrait({ position }: Upstream): UpstreamTrait {
    return findTrait(this.options.pattern.traits ?? [], position, this.events.now);
  }

  private listUsable({ tried }: SimulatedRequest): readonly UsableUpstream[] {
    if (!this.options.pattern.traits) {
      return this.usable.filter(({ record }) => !tried.has(record.upstream));
    }
    return this.upstreams.flatMap((upstream) => {
      if (tried.has(upstream.usable.record.upstream)) return [];
      const { fromMs, unlistedMs = Infinity, weight } = this.getTrait(upstream);
      if (this.events.now >= fromMs + unlistedMs) return [];
      return [weight === undefined ? upstream.usable : { ...upstream.usable, weight }];
    });
  }

  private computeRetryScarcity({ tried, mayRepeat }: SimulatedRequest): number {
    if (!mayRepeat || tried.size + 1 >= maxAttempts) return 1;
    const { used, allowed } = this.countRetries();
    return Math.min(1, used / allowed);
  }

  private countRetries(): { readonly used: number; readonly allowed: number } {
    const { requests, retries } = this.retryWindow.readCounts(this.events.now);
    return { used: retries, allowed: retryShare * requests + retryExtra };
  }

  private sendAttempt(request: SimulatedRequest): void {
    const { domain, host, tried } = request;
    const { now } = this.events;
    const chosen = host.balancer.chooseUpstream({
      candidates: this.listUsable(request),
      retryScarcity: this.computeRetryScarcity(request),
      readLoad: (name) => domain.loads.readLoad(host, name),
      now,
      random: () => uniformFloat64(this.choiceGenerator),
      failureDomain: domain.name,
      ...(request.mayRepeat && {
        hasIdleConnection: ({ record }: UsableUpstream) =>
          this.connections.hasIdle(host, record.upstream, now),
      }),
    });
    const upstream = this.upstreams.find(({ usable }) => usable.record === chosen?.record);
    if (!upstream) {
      this.counts.refused += 1;
      return;
    }
    const name = upstream.usable.record.upstream;
    tried.add(name);
    if (request.mayRepeat) this.connections.takeConnection(host, name, now);
    else this.connections.openSingleUse();
    this.addInFlight(request, upstream, 1);
    if (upstream.isUnreachable) this.failConnection(request, upstream);
    else
      this.events.addEvent(now + oneWayDelayMs, () => this.acceptRequest(request, upstream, now));
  }

  private addInFlight(
    { domain, host }: SimulatedRequest,
    { usable }: Upstream,
    change: number,
  ): void {
    domain.loads.addInFlight(host, usable.record.upstream, change);
  }

  private failConnection(request: SimulatedRequest, upstream: Upstream): void {
    this.events.addEvent(this.events.now + connectTimeoutMs, () => {
      this.reportSuspicion(request, upstream, 'unreachable');
      this.addInFlight(request, upstream, -1);
      this.sendAttempt(request);
    });
  }

  private reportSuspicion(
    request: SimulatedRequest,
    { usable }: Upstream,
    kind: 'broken' | 'unreachable' | 'faulty',
  ): void {
    const { upstream, incarnation } = usable.record;
    const suspicion = { upstream, incarnation, kind };
    const { now } = this.events;
    if (!request.host.suspicions.addSuspicion(suspicion, now)) return;
    this.domains
      .flatMap(({ hosts }) => hosts)
      .filter((host) => host !== request.host)
      .forEach(({ suspicions }) => suspicions.addSuspicion(suspicion, now, 'other'));
  }

  private reportSuccess(
    { host, domain }: SimulatedRequest,
    upstream: string,
    sentAt: number,
  ): void {
    const { now } = this.events;
    const isRecovery = host.suspicions.recordSuccess(upstream, sentAt, now);
    const others = domain.hosts.filter((other) => other !== host);
    if (!isRecovery) return;
    this.events.addEvent(now + recoveryDelayMs, () =>
      others.forEach(({ suspicions }) =>
        suspicions.recordRecovery(upstream, now + recoveryDelayMs),
      ),
    );
  }

  private acceptRequest(request: SimulatedRequest, upstream: Upstream, sentAt: number): void {
    const { resetShare, strayResetShare, slots, maxQueue } = this.options.pattern;
    const { refusedShare = 0 } = this.getTrait(upstream);
    const isReset = this.isFaulty(upstream) && this.drawUniform() < resetShare;
    if (isReset || this.drawUniform() < strayResetShare) {
      this.counts.resets += 1;
      this.addInFlight(request, upstream, -1);
      this.reportSuspicion(request, upstream, 'broken');
      this.failAttempt(request);
    } else if (refusedShare > 0 && this.drawUniform() < refusedShare) {
      this.refuseRequest(request, upstream);
    } else if (upstream.running < slots) {
      this.runRequest(request, upstream, sentAt);
    } else if (upstream.queue.length < maxQueue) {
      upstream.queue.push(() => this.runRequest(request, upstream, sentAt));
    } else {
      this.refuseRequest(request, upstream);
    }
  }

  private refuseRequest(request: SimulatedRequest, upstream: Upstream): void {
    this.addInFlight(request, upstream, -1);
    this.keepConnection(request, upstream);
    const { record } = upstream.usable;
    const known = request.domain.loads.readLoad(request.host, record.upstream);
    if (estimateLoad(known, this.events.now, loadHalfLifeMs) < record.slots) {
      this.reportSuspicion(request, upstream, 'faulty');
    }
    this.retryRequest(request, 'refused');
  }

  private keepConnection({ host, mayRepeat }: SimulatedRequest, { usable }: Upstream): void {
    if (!mayRepeat) return;
    this.connections.keepConnection(host, usable.record.upstream, this.events.now);
  }

  private runRequest(request: SimulatedRequest, upstream: Upstream, sentAt: number): void {
    upstream.running += 1;
    upstream.ran += 1;
    const workMs = this.drawWorkMs() * (this.getTrait(upstream).workFactor ?? 1);
    this.events.addEvent(this.events.now + workMs + oneWayDelayMs, () => {
      const { upstream: name } = upstream.usable.record;
      const load = upstream.running + upstream.queue.length;
      request.domain.loads.recordReport(request.host, name, load);
      upstream.running -= 1;
      upstream.queue.shift()?.();
      this.addInFlight(request, upstream, -1);
      this.keepConnection(request, upstream);
      this.endRequest(request, upstream, sentAt);
    });
  }

  private endRequest(request: SimulatedRequest, upstream: Upstream, sentAt: number): void {
    if (this.drawUniform() < faultyAnswerShare) {
      this.failAttempt(request);
      return;
    }
    const { record } = upstream.usable;
    const { now } = this.events;
    this.reportSuccess(request, record.upstream, sentAt);
    if (record.failureDomain !== request.domain.name) {
      this.counts.crossDomainBytes += this.options.pattern.answerBytes;
    }
    if (now - request.startedAt <= this.options.pattern.objectiveMs) this.counts.inTime += 1;
    else this.counts.late += 1;
  }

  private failAttempt(request: SimulatedRequest): void {
    if (request.mayRepeat) this.retryRequest(request, 'lost');
    else this.counts.lost += 1;
  }

  private retryRequest(request: SimulatedRequest, outcome: 'lost' | 'refused'): void {
    const { used, allowed } = this.countRetries();
    if (used + 1 > allowed || request.tried.size >= maxAttempts) {
      this.counts[outcome] += 1;
      return;
    }
    this.retryWindow.addRetry(this.events.now);
    this.counts.retries += 1;
    this.sendAttempt(request);
  }
}
