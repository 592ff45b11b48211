import type Balancer from './Balancer.ts';
import type { BalancerChoice } from './Balancer.ts';
import type UsableUpstream from './UsableUpstream.ts';
import drawTwo from './drawTwo.ts';

/**
 * Of two upstreams drawn at random, chooses the one with fewer requests in flight.
 * Source: M. Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001.
 */
export default class TwoChoicesBalancer implements Balancer {
  chooseUpstream(choice: BalancerChoice): UsableUpstream | undefined {
    const [first, second] = drawTwo(choice);
    if (!first || !second) return first;
    const [firstInFlight, secondInFlight] = [first, second].map(
      ({ record }) => choice.readLoad(record.upstream).inFlight,
    );
    return Number(firstInFlight) <= Number(secondInFlight) ? first : second;
  }
}
