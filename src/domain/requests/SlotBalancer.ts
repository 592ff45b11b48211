import type Balancer from './Balancer.ts';
import type { BalancerChoice } from './Balancer.ts';
import type UsableUpstream from './UsableUpstream.ts';
import drawTwo from './drawTwo.ts';

// About the time in which an upstream's slots are taken by other requests (answers take 25 ms).
const defaultHalfLifeMs = 25;
// Smaller differences than this share of a slot are noise; the failure domain decides then.
const stepsPerSlot = 4;

/**
 * Of two upstreams drawn at random, chooses the one with the smaller estimated use of its slots:
 * the slot use that its last answer reported, drawn towards the mean of the service as it ages,
 * plus this host's own requests in flight. Ties go to the own failure domain.
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
    const own = this.estimateUse(first, choice, meanUse);
    const other = this.estimateUse(second, choice, meanUse);
    if (own !== other) return own < other ? first : second;
    return second.record.failureDomain === choice.failureDomain ? second : first;
  }

  // An old report says little about one upstream. Drawn towards zero instead of the mean, the
  // upstreams that this host has not used for longest would look idle and be chosen most.
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

  /** Share of the upstream's slots that are probably in use; above 1 when requests wait. */
  private estimateUse(
    { record }: UsableUpstream,
    { readLoad, now }: BalancerChoice,
    meanUse: number,
  ): number {
    const { inFlight, reportedLoad, reportedAt } = readLoad(record.upstream);
    const trust = 0.5 ** (Math.max(0, now - reportedAt) / this.halfLifeMs);
    const reportedUse = meanUse + (reportedLoad / record.slots - meanUse) * trust;
    const use = reportedUse + inFlight / record.slots;
    return Math.round(use * record.slots * stepsPerSlot) / (record.slots * stepsPerSlot);
  }
}
