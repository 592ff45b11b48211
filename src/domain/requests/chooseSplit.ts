import type { SplitPart } from '../presets/Preset.ts';

/** The service of one request; `draw` is a random number from 0 up to, but not including, 1. */
export default function chooseSplit(parts: readonly SplitPart[], draw: number): string | undefined {
  const total = parts.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw * total;
  return parts.find(({ weight }) => {
    left -= weight;
    return left < 0;
  })?.service;
}
