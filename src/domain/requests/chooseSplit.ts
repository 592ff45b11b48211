import type { SplitPart } from '../presets/Preset.ts';

/**
 * Chooses the service of a request by the weights of a traffic split; undefined when no part has a
 * weight above 0. `draw` is a random number from 0 up to, but not including, 1.
 */
export default function chooseSplit(parts: readonly SplitPart[], draw: number): string | undefined {
  const drawn = parts.filter(({ weight }) => weight > 0);
  const total = drawn.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = draw * total;
  const chosen = drawn.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  // Fractions may add up to a little less than the draw.
  return (chosen ?? drawn.at(-1))?.service;
}
