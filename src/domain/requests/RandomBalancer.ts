import type Balancer from './Balancer.ts';
import type { BalancerChoice } from './Balancer.ts';
import drawWeighted from './drawWeighted.ts';
import type UsableUpstream from './UsableUpstream.ts';

/** Weighted random choice; kept as a baseline for comparisons. */
export default class RandomBalancer implements Balancer {
  chooseUpstream({ candidates, random }: BalancerChoice): UsableUpstream | undefined {
    return drawWeighted(candidates, random);
  }
}
