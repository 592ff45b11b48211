import type Balancer from './Balancer.ts';
import type { BalancerChoice } from './Balancer.ts';
import type UsableUpstream from './UsableUpstream.ts';

/** What the choice of an upstream costs; the unit is the same for all. */
export interface BalancerPrices {
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
export interface PricedBalancerOptions {
  /** `retryScarcity` is that of the choice. */
  readonly readPrices: (service: string, retryScarcity: number) => BalancerPrices;
  /** Risk that a request to the upstream fails, 0 to 1. */
  readonly readRisk: (upstream: UsableUpstream) => number;
  /** Time in which a reported load halves, in milliseconds. */
  readonly loadHalfLifeMs: number;
}

/**
 * Chooses the upstream where a request costs least: waiting for a slot, crossing to another failure
 * domain and the risk of a failure are all prices, so that each gives way to the others where room
 * runs short.
 */
export default class PricedBalancer implements Balancer {
  private readonly options: PricedBalancerOptions;

  constructor(options: PricedBalancerOptions) {
    this.options = options;
  }

  chooseUpstream(choice: BalancerChoice): UsableUpstream | undefined {
    const [first] = choice.candidates;
    if (!first) return undefined;
    const prices = this.options.readPrices(first.record.service, choice.retryScarcity ?? 0);
    let best: UsableUpstream | undefined;
    let lowest = Infinity;
    choice.candidates.forEach((candidate) => {
      const price = this.computePrice(candidate, choice, prices) + prices.noise * choice.random();
      if (price >= lowest) return;
      lowest = price;
      best = candidate;
    });
    return best;
  }

  private computePrice(
    candidate: UsableUpstream,
    choice: BalancerChoice,
    prices: BalancerPrices,
  ): number {
    const isNear = candidate.record.failureDomain === choice.failureDomain;
    return (
      this.computeWait(candidate, choice, prices) +
      (isNear ? 0 : prices.otherDomain) +
      prices.failure * this.options.readRisk(candidate) +
      prices.cold * (1 - candidate.weight)
    );
  }

  private computeWait(
    { record }: UsableUpstream,
    { readLoad, now }: BalancerChoice,
    prices: BalancerPrices,
  ): number {
    const { inFlight, reportedLoad, reportedAt } = readLoad(record.upstream);
    const ageMs = Math.max(0, now - reportedAt);
    const reported = reportedLoad * 0.5 ** (ageMs / this.options.loadHalfLifeMs);
    const load = Math.max(inFlight, reported);
    const { slots } = record;
    if (load < slots) return (prices.busySlots * load) / slots;
    const waits = (load - slots + 1) / slots;
    return prices.busySlots + prices.wait * waits + prices.longWait * Math.max(0, waits - 1);
  }
}
