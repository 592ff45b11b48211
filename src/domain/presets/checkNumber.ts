import type InvalidValue from './InvalidValue.ts';
import type { Range } from './presetLimits.ts';

/** Checks a number of a preset; undefined if it is allowed. */
export default function checkNumber(
  key: string,
  value: number,
  limit: Range,
  isWhole = true,
): InvalidValue | undefined {
  const isInRange = value >= limit.minimum && value <= limit.maximum;
  if (isInRange && (!isWhole || Number.isInteger(value))) return undefined;
  const noun = isWhole ? 'a whole number' : 'a number';
  return { key, value, expected: `expected ${noun} from ${limit.minimum} to ${limit.maximum}` };
}
