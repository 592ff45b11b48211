import type Balancer from './Balancer.ts';
import type { BalancerChoice } from './Balancer.ts';
import type UsableUpstream from './UsableUpstream.ts';
import drawTwo from './drawTwo.ts';

// An answer takes about 25 ms, so after this time other requests occupy an upstream's slots.
const defaultHalfLifeMs = 25;
// Slot use is rounded to a quarter of a slot: smaller differences are noise, and the failure domain
// decides instead.
const stepsPerSlot = 4;

/**
 * Power of two choices by slot use: of two upstreams drawn at random, chooses the one with the
 * lower estimated use of its slots. The estimate is the use that its last answer reported, which
 * decays towards the mean of the service, plus this host's requests in flight. In a tie, an
 * upstream in this host's failure domain is preferred.
 */
export default class SlotBalancer implements Balancer {
  private readonly halfLifeMs: number;

  constructor({ halfLifeMs = defaultHalfLifeMs }: { readonly halfLifeMs?: number } = {}) {
    this.halfLifeMs = halfLifeMs;
  }

  chooseUpstream(choice: BalancerChoice): UsableUpstream | undefined {
    const [first, second] = drawTwo(choice);
    if (!first || !second) return first;
    const meanUse = this.computeMeanUse(choice);
    const firstUse = this.estimateUse(first, choice, meanUse);
    const secondUse = this.estimateUse(second, choice, meanUse);
    if (firstUse !== secondUse) return firstUse < secondUse ? first : second;
    return second.record.failureDomain === choice.failureDomain ? second : first;
  }

  // Old reports decay towards this mean. If they decayed towards zero, the upstreams that this host
  // has not used for the longest time would appear idle and be chosen most often.
  private computeMeanUse({ candidates, readLoad }: BalancerChoice): number {
    let sum = 0;
    let reports = 0;
    // One pass without copies, because it runs over all candidates for each request.
    candidates.forEach(({ record }) => {
      const { reportedLoad, reportedAt } = readLoad(record.upstream);
      if (reportedAt <= 0) return;
      sum += reportedLoad / record.slots;
      reports += 1;
    });
    return sum / Math.max(1, reports);
  }

  /** Estimated share of the upstream's slots in use; above 1 when requests wait. */
  private estimateUse(
    { record }: UsableUpstream,
    { readLoad, now }: BalancerChoice,
    meanUse: number,
  ): number {
    const { inFlight, reportedLoad, reportedAt } = readLoad(record.upstream);
    const reportWeight = 0.5 ** (Math.max(0, now - reportedAt) / this.halfLifeMs);
    const reportedUse = meanUse + (reportedLoad / record.slots - meanUse) * reportWeight;
    const use = reportedUse + inFlight / record.slots;
    return Math.round(use * record.slots * stepsPerSlot) / (record.slots * stepsPerSlot);
  }
}
