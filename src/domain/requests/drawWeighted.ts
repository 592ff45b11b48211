import type UsableUpstream from './UsableUpstream.ts';

/** Draws a candidate at random in proportion to the weights; undefined when there is none. */
export default function drawWeighted(
  candidates: readonly UsableUpstream[],
  random: () => number,
): UsableUpstream | undefined {
  const total = candidates.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random() * total;
  const drawn = candidates.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  // Rounding errors can leave a remainder after the last candidate.
  return drawn ?? candidates.at(-1);
}
