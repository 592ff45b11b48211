import type Balancer from './Balancer.ts';
import type { BalancerChoice } from './Balancer.ts';
import type UsableUpstream from './UsableUpstream.ts';

/** What the choice of an upstream costs, in times that a request takes to be worked on. */
export interface BalancerPrices {
  /** A full set of busy slots, before anything has to wait. */
  readonly busySlots: number;
  /** An upstream of another failure domain. */
  readonly otherDomain: number;
  /** An upstream that is surely bad. */
  readonly suspicion: number;
  /** An upstream with no share of traffic yet. */
  readonly cold: number;
  /** Up to this much is drawn at random, so that hosts that know the same don't choose the same. */
  readonly noise: number;
}

/** What the balancer needs. */
export interface PricedBalancerOptions {
  readonly prices: BalancerPrices;
  /** How bad an upstream looks now, 0 to 1. */
  readonly readSuspicion: (upstream: UsableUpstream) => number;
  /** Time in which a reported load halves, in milliseconds. */
  readonly loadHalfLifeMs: number;
}

/**
 * Chooses the upstream where a request costs least: waiting for a slot, crossing to another failure
 * domain and the risk of a bad upstream are all prices, so that each gives way to the others where
 * room runs short.
 */
export default class PricedBalancer implements Balancer {
  private readonly options: PricedBalancerOptions;

  constructor(options: PricedBalancerOptions) {
    this.options = options;
  }

  chooseUpstream(choice: BalancerChoice): UsableUpstream | undefined {
    const { noise } = this.options.prices;
    let best: UsableUpstream | undefined;
    let lowest = Infinity;
    choice.candidates.forEach((candidate) => {
      const price = this.computePrice(candidate, choice) + noise * choice.random();
      if (price >= lowest) return;
      lowest = price;
      best = candidate;
    });
    return best;
  }

  private computePrice(candidate: UsableUpstream, choice: BalancerChoice): number {
    const { prices, readSuspicion } = this.options;
    const isNear = candidate.record.failureDomain === choice.failureDomain;
    return (
      this.computeWait(candidate, choice) +
      (isNear ? 0 : prices.otherDomain) +
      prices.suspicion * readSuspicion(candidate) +
      prices.cold * (1 - candidate.weight)
    );
  }

  private computeWait({ record }: UsableUpstream, { readLoad, now }: BalancerChoice): number {
    const { prices, loadHalfLifeMs } = this.options;
    const { inFlight, reportedLoad, reportedAt } = readLoad(record.upstream);
    const reported = reportedLoad * 0.5 ** (Math.max(0, now - reportedAt) / loadHalfLifeMs);
    const load = Math.max(inFlight, reported);
    const { slots } = record;
    if (load < slots) return (prices.busySlots * load) / slots;
    return prices.busySlots + (load - slots + 1) / slots;
  }
}
