import type { BalancerChoice } from './Balancer.ts';
import drawWeighted from './drawWeighted.ts';
import type UsableUpstream from './UsableUpstream.ts';

/**
 * Draws two different candidates at random in proportion to their weights, or fewer when there are
 * fewer. The weight counts only in the draw: if it counted in the comparison as well, an upstream
 * on probation could get no traffic at all and would never show that it has recovered.
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
