import { z } from 'zod';

import type Failure from '../../domain/errors/Failure.ts';
import type Result from '../../domain/errors/Result.ts';

const failureSchema = z.looseObject({ kind: z.string(), message: z.string() });

/** What a procedure returns: its value, or the expected error that took its place. */
export default function createAnswerSchema<Value>(
  value: z.ZodType<Value>,
): z.ZodType<Result<Value>> {
  return z.discriminatedUnion('ok', [
    z.object({ ok: z.literal(true), value }),
    z.object({ ok: z.literal(false), failure: failureSchema }),
  ]) as unknown as z.ZodType<Result<Value>>;
}

/** The failure of a call whose input is malformed. */
export function createMalformedInput(call: string, error: z.ZodError): Result<never> {
  const [issue] = error.issues;
  const field = issue?.path.join('.') ?? '';
  const message = `${call}: field "${field}": ${issue?.message ?? 'malformed'}`;
  const failure: Failure = { kind: 'message_invalid', message };
  return { ok: false, failure };
}
