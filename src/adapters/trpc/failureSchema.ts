import * as z from 'zod';

import errorAnswers from '../../domain/errors/errorAnswers.ts';
import type ErrorKind from '../../domain/errors/ErrorKind.ts';
import type Failure from '../../domain/errors/Failure.ts';
import type Result from '../../domain/errors/Result.ts';

type PlainKind = Exclude<ErrorKind, 'revision_conflict' | 'not_leader'>;

// Kinds of failures that carry nothing but a message.
const plainKinds = Object.keys(errorAnswers).filter(
  (kind): kind is PlainKind => kind !== 'revision_conflict' && kind !== 'not_leader',
);

/** Creates the schema of a property that JSON omits when it is undefined. */
export function createOptionalSchema<Output>(schema: z.ZodType<Output>) {
  return schema.optional().transform((value) => value);
}

/** The accepted change with which a refused change conflicts. */
export const winnerSchema = z.object({
  revision: z.int().min(0),
  operator: z.string(),
  changeId: z.string(),
});

/** An expected error in a message. */
const failureSchema: z.ZodType<Failure> = z.union([
  z.object({
    kind: z.literal('revision_conflict'),
    message: z.string(),
    winner: winnerSchema,
  }),
  z.object({
    kind: z.literal('not_leader'),
    message: z.string(),
    leader: createOptionalSchema(z.string()),
  }),
  z.object({ kind: z.enum(plainKinds), message: z.string() }),
]);

export default failureSchema;

/** Creates the schema of a value or an expected error in a message. */
export function createResultSchema<Value>(value: z.ZodType<Value>): z.ZodType<Result<Value>> {
  return z.union([
    z.object({ ok: z.literal(true), value }),
    z.object({ ok: z.literal(false), failure: failureSchema }),
  ]);
}
