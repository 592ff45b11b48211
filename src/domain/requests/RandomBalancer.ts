import type Balancer from './Balancer.ts';
import type { BalancerChoice } from './Balancer.ts';
import drawWeighted from './drawWeighted.ts';
import type UsableUpstream from './UsableUpstream.ts';

/** Chooses at random in proportion to the weights; the baseline of the comparisons. */
export default class RandomBalancer implements Balancer {
  chooseUpstream({ candidates, random }: BalancerChoice): UsableUpstream | undefined {
    return drawWeighted(candidates, random);
  }
}
