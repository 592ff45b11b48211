import type UsableUpstream from './UsableUpstream.ts';

/** One candidate at random, in proportion to its weight; undefined when there is none. */
export default function drawWeighted(
  candidates: readonly UsableUpstream[],
  random: () => number,
): UsableUpstream | undefined {
  const total = candidates.reduce((sum, { weight }) => sum + weight, 0);
  let rest = random() * total;
  const drawn = candidates.find(({ weight }) => {
    rest -= weight;
    return rest < 0;
  });
  // Rounding can leave a rest after the last candidate.
  return drawn ?? candidates.at(-1);
}
