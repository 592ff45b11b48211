import type * as z from 'zod';

import type Result from '../../domain/errors/Result.ts';

/**
 * Validates the input of a procedure; the failure `message_invalid` names the call and the first
 * invalid key.
 */
export default function parseInput<Output>(
  call: string,
  schema: z.ZodType<Output>,
  input: unknown,
): Result<Output> {
  const parsed = schema.safeParse(input);
  if (parsed.success) return { ok: true, value: parsed.data };
  const [issue] = parsed.error.issues;
  const key = issue && issue.path.length > 0 ? issue.path.map(String).join('.') : '(input)';
  const message = `${call}: key ${key}: ${issue?.message ?? 'not valid'}`;
  return { ok: false, failure: { kind: 'message_invalid', message } };
}
