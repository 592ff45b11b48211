import * as z from 'zod';

const expected = 'expected a duration such as 1500ms or 2.5s';
const pattern = /^(\d+(?:\.\d+)?)(ms|s)$/;

/** A duration with its unit, such as `1500ms` or `2.5s`, converted to milliseconds. */
const durationSchema = z
  .string(expected)
  .regex(pattern, expected)
  .transform((text) => {
    const [, value, unit] = pattern.exec(text) ?? [];
    return Number(value) * (unit === 's' ? 1000 : 1);
  });

export default durationSchema;
