import type Balancer from './Balancer.ts';
import type { BalancerChoice } from './Balancer.ts';
import type UsableUpstream from './UsableUpstream.ts';

/** Chooses at random in proportion to the weights; the baseline of the comparisons. */
export default class RandomBalancer implements Balancer {
  chooseUpstream({ candidates, random }: BalancerChoice): UsableUpstream | undefined {
    const total = candidates.reduce((sum, candidate) => sum + candidate.weight, 0);
    let rest = random() * total;
    return (
      candidates.find((candidate) => {
        rest -= candidate.weight;
        return rest < 0;
      }) ?? candidates.at(-1)
    );
  }
}
