import type { BalancerChoice } from './Balancer.ts';
import drawWeighted from './drawWeighted.ts';
import type UsableUpstream from './UsableUpstream.ts';

/**
 * Two different candidates, each drawn in proportion to its weight; fewer when there are fewer. The
 * weight counts in the draw only: an upstream on probation that is never better than another would
 * otherwise get no traffic at all and could not prove itself.
 */
export default function drawTwo({
  candidates,
  random,
}: Pick<BalancerChoice, 'candidates' | 'random'>): readonly UsableUpstream[] {
  const first = drawWeighted(candidates, random);
  if (!first) return [];
  const others = candidates.filter((candidate) => candidate !== first);
  const second = drawWeighted(others, random);
  return second ? [first, second] : [first];
}
