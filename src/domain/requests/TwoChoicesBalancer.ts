import type Balancer from './Balancer.ts';
import type { BalancerChoice } from './Balancer.ts';
import type UsableUpstream from './UsableUpstream.ts';
import drawTwo from './drawTwo.ts';

/**
 * Of two upstreams drawn at random, chooses the one with fewer requests of this host in flight.
 * Source: M. Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001.
 */
export default class TwoChoicesBalancer implements Balancer {
  chooseUpstream(choice: BalancerChoice): UsableUpstream | undefined {
    const [first, second] = drawTwo(choice);
    if (!first || !second) return first;
    const [own, other] = [first, second].map(
      ({ record }) => choice.readLoad(record.upstream).inFlight,
    );
    return Number(own) <= Number(other) ? first : second;
  }
}
