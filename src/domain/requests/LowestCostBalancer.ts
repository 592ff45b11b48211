import type Balancer from './Balancer.ts';
import type { BalancerChoice } from './Balancer.ts';
import type UsableUpstream from './UsableUpstream.ts';
import drawSample from './drawSample.ts';
import estimateLoad from './estimateLoad.ts';

// Knowledge of load is old by the time it reaches the other hosts. When all of them compare the
// same many upstreams, they choose the same few, so from more than this many only a sample is
// compared.
const maxComparedUpstreams = 12;
// A larger sample of upstreams that recently gave good answers loads the same few of them again.
const provenSampleSize = 2;
const otherSampleSize = 1;
// Upstreams with an idle connection that are drawn besides. They are compared only if none of the
// others has a lower load, so that hosts don't crowd on the upstreams that they used before.
const connectedSampleSize = 4;
// Up to this risk, an upstream recently gave good answers.
const maxProvenRisk = 0.1;
// Above this risk, an upstream is compared only if too few others are.
const maxSampledRisk = 0.5;

/** Cost parameters of the choice; all have the same unit. */
export interface BalancerCosts {
  /** Cost when all slots are in use and no request waits; proportionally less with fewer in use. */
  readonly busySlots: number;
  /** Cost of waiting for one service time, which is the time an upstream takes for a request. */
  readonly wait: number;
  /** Additional cost of each service time of waiting beyond the first. */
  readonly longWait: number;
  /** Cost of an upstream in another failure domain. */
  readonly otherDomain: number;
  /** The same while all upstreams of the own failure domain are likely to fail. */
  readonly otherDomainAtLoss: number;
  /** Risk from which an upstream is likely to fail, 0 to 1. */
  readonly likelyFailureRisk: number;
  /** Cost of a request that fails. */
  readonly failure: number;
  /**
   * Cost of the last request that the limit of an upstream allows for now; proportionally less
   * while more are left. Requests under a limit are kept for when other upstreams fail.
   */
  readonly limited: number;
  /** Cost of opening a connection; decides among upstreams of nearly equal cost. */
  readonly newConnection: number;
  /** Cost of an upstream of weight 0; proportionally less for higher weights. */
  readonly cold: number;
  /** Maximum random cost, so that hosts with the same data don't all choose the same upstream. */
  readonly noise: number;
}

/** Options of the balancer. */
export interface LowestCostBalancerOptions {
  /**
   * Returns the costs for an operation, or for a service if the choice names no operation;
   * `retryScarcity` is that of the choice.
   */
  readonly readCosts: (operation: string, retryScarcity: number) => BalancerCosts;
  /** Risk that a request to the upstream fails, 0 to 1. */
  readonly readRisk: (upstream: UsableUpstream) => number;
  /** How much of its limit an upstream has used, 0 to 1; 0 without a limit. */
  readonly readLimitUse?: (upstream: UsableUpstream) => number;
  /** Half-life of a reported load, in milliseconds. */
  readonly loadHalfLifeMs: number;
}

/**
 * Chooses the upstream with the lowest cost; of many upstreams, compares only a sample of the own
 * failure domain and one of all others, most of which recently gave good answers. Waiting for a
 * slot, traffic to another failure domain and the risk of a failure all count as costs, so that
 * they are traded off against each other when capacity is scarce.
 */
export default class LowestCostBalancer implements Balancer {
  private readonly options: LowestCostBalancerOptions;

  constructor(options: LowestCostBalancerOptions) {
    this.options = options;
  }

  chooseUpstream(choice: BalancerChoice): UsableUpstream | undefined {
    const [first] = choice.candidates;
    if (!first) return undefined;
    const { operation = first.record.service, retryScarcity = 0 } = choice;
    const known = this.options.readCosts(operation, retryScarcity);
    const costs = { ...known, otherDomain: this.chooseOtherDomainCost(choice, known) };
    let best: UsableUpstream | undefined;
    let lowestCost = Infinity;
    this.drawCandidates(choice).forEach((candidate) => {
      const cost = this.computeCost(candidate, choice, costs) + costs.noise * choice.random();
      if (cost >= lowestCost) return;
      lowestCost = cost;
      best = candidate;
    });
    return best;
  }

  // The price of traffic is compared with the cost of a lost request only when a loss is likely:
  // large answers would otherwise leave their failure domain for every long queue.
  private chooseOtherDomainCost(
    { candidates, failureDomain }: BalancerChoice,
    { otherDomain, otherDomainAtLoss, likelyFailureRisk }: BalancerCosts,
  ): number {
    if (otherDomain <= otherDomainAtLoss) return otherDomain;
    const hasSound = candidates.some(
      (each) =>
        each.record.failureDomain === failureDomain &&
        this.options.readRisk(each) < likelyFailureRisk,
    );
    return hasSound ? otherDomain : otherDomainAtLoss;
  }

  private drawCandidates(choice: BalancerChoice): readonly UsableUpstream[] {
    const { candidates, failureDomain } = choice;
    if (candidates.length <= maxComparedUpstreams) return candidates;
    const own = candidates.filter(({ record }) => record.failureDomain === failureDomain);
    const others = candidates.filter(({ record }) => record.failureDomain !== failureDomain);
    return [own, others].flatMap((list) => this.drawCompared(list, choice));
  }

  private drawCompared(
    candidates: readonly UsableUpstream[],
    choice: BalancerChoice,
  ): readonly UsableUpstream[] {
    if (candidates.length <= maxComparedUpstreams) return candidates;
    const { random, hasIdleConnection } = choice;
    const risks = new Map(candidates.map((each) => [each, this.options.readRisk(each)]));
    const listWithin = (minRisk: number, maxRisk: number): readonly UsableUpstream[] =>
      candidates.filter((each) => {
        const risk = risks.get(each) ?? 0;
        return risk > minRisk && risk <= maxRisk;
      });
    const proven = listWithin(-Infinity, maxProvenRisk);
    const connected = hasIdleConnection ? proven.filter((each) => hasIdleConnection(each)) : [];
    const provenSample = drawSample(proven, provenSampleSize, random);
    const otherSize = otherSampleSize + provenSampleSize - provenSample.length;
    const others = listWithin(maxProvenRisk, maxSampledRisk);
    const sample = [...provenSample, ...drawSample(others, otherSize, random)];
    if (sample.length < provenSampleSize) return candidates;
    const leastLoad = Math.min(...sample.map((each) => this.estimateLoad(each, choice)));
    const drawn = drawSample(connected, connectedSampleSize, random);
    return [...sample, ...drawn.filter((each) => this.estimateLoad(each, choice) <= leastLoad)];
  }

  private computeCost(
    candidate: UsableUpstream,
    choice: BalancerChoice,
    costs: BalancerCosts,
  ): number {
    const isSameDomain = candidate.record.failureDomain === choice.failureDomain;
    const risk = this.options.readRisk(candidate);
    // An upstream that answers errors at once always has an idle connection.
    const isReused = risk <= maxProvenRisk && choice.hasIdleConnection?.(candidate);
    return (
      this.computeWait(candidate, choice, costs) +
      (isSameDomain ? 0 : costs.otherDomain) +
      costs.failure * risk +
      costs.limited * (this.options.readLimitUse?.(candidate) ?? 0) +
      costs.cold * (1 - candidate.weight) +
      (isReused ? 0 : costs.newConnection)
    );
  }

  private estimateLoad({ record }: UsableUpstream, { readLoad, now }: BalancerChoice): number {
    return estimateLoad(readLoad(record.upstream), now, this.options.loadHalfLifeMs);
  }

  private computeWait(
    candidate: UsableUpstream,
    choice: BalancerChoice,
    costs: BalancerCosts,
  ): number {
    const load = this.estimateLoad(candidate, choice);
    const { slots } = candidate.record;
    if (load < slots) return (costs.busySlots * load) / slots;
    const serviceTimes = (load - slots + 1) / slots;
    return (
      costs.busySlots + costs.wait * serviceTimes + costs.longWait * Math.max(0, serviceTimes - 1)
    );
  }
}
