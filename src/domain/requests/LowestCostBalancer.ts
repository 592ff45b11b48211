import type Balancer from './Balancer.ts';
import type { BalancerChoice } from './Balancer.ts';
import type UsableUpstream from './UsableUpstream.ts';

/** What the choice of an upstream costs; the unit is the same for all. */
export interface BalancerCosts {
  /** A full set of busy slots, before anything has to wait. */
  readonly busySlots: number;
  /** Waiting for the time that one request takes to be worked on. */
  readonly wait: number;
  /** Each such time beyond the first one, on top. */
  readonly longWait: number;
  /** An upstream of another failure domain. */
  readonly otherDomain: number;
  /** A request that fails. */
  readonly failure: number;
  /** An upstream with no share of traffic yet. */
  readonly cold: number;
  /** Up to this much is drawn at random, so that hosts that know the same don't choose the same. */
  readonly noise: number;
}

/** What the balancer needs. */
export interface LowestCostBalancerOptions {
  /** `retryScarcity` is that of the choice. */
  readonly readCosts: (service: string, retryScarcity: number) => BalancerCosts;
  /** Risk that a request to the upstream fails, 0 to 1. */
  readonly readRisk: (upstream: UsableUpstream) => number;
  /** Time in which a reported load halves, in milliseconds. */
  readonly loadHalfLifeMs: number;
}

/**
 * Chooses the upstream where a request costs least: waiting for a slot, crossing to another failure
 * domain and the risk of a failure are all costs, so that each gives way to the others where room
 * runs short.
 */
export default class LowestCostBalancer implements Balancer {
  private readonly options: LowestCostBalancerOptions;

  constructor(options: LowestCostBalancerOptions) {
    this.options = options;
  }

  chooseUpstream(choice: BalancerChoice): UsableUpstream | undefined {
    const [first] = choice.candidates;
    if (!first) return undefined;
    const costs = this.options.readCosts(first.record.service, choice.retryScarcity ?? 0);
    let best: UsableUpstream | undefined;
    let lowest = Infinity;
    choice.candidates.forEach((candidate) => {
      const cost = this.computeCost(candidate, choice, costs) + costs.noise * choice.random();
      if (cost >= lowest) return;
      lowest = cost;
      best = candidate;
    });
    return best;
  }

  private computeCost(
    candidate: UsableUpstream,
    choice: BalancerChoice,
    costs: BalancerCosts,
  ): number {
    const isNear = candidate.record.failureDomain === choice.failureDomain;
    return (
      this.computeWait(candidate, choice, costs) +
      (isNear ? 0 : costs.otherDomain) +
      costs.failure * this.options.readRisk(candidate) +
      costs.cold * (1 - candidate.weight)
    );
  }

  private computeWait(
    { record }: UsableUpstream,
    { readLoad, now }: BalancerChoice,
    costs: BalancerCosts,
  ): number {
    const { inFlight, reportedLoad, reportedAt } = readLoad(record.upstream);
    const ageMs = Math.max(0, now - reportedAt);
    const reported = reportedLoad * 0.5 ** (ageMs / this.options.loadHalfLifeMs);
    const load = Math.max(inFlight, reported);
    const { slots } = record;
    if (load < slots) return (costs.busySlots * load) / slots;
    const waits = (load - slots + 1) / slots;
    return costs.busySlots + costs.wait * waits + costs.longWait * Math.max(0, waits - 1);
  }
}
