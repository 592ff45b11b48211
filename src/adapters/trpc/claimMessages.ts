import * as z from 'zod';

import type { ClaimBatch } from '../../ports/ClaimLink.ts';
import type { ClaimChange, ClaimDecision, StoredAnswer } from '../../domain/claims/Claim.ts';
import failureSchema, { createOptionalSchema, createResultSchema } from './failureSchema.ts';

const maxTextLength = 200;
// Larger than the batches that entry hosts send, so that a larger batch size on entry hosts does
// not block claims.
const maxChangesPerMessage = 1024;

const keySchema = z.string().max(maxTextLength);
const attemptSchema = z.string().min(1).max(maxTextLength);

/** An upstream's answer in a message. */
export const storedAnswerSchema: z.ZodType<StoredAnswer> = z.object({
  status: z.int().min(100).max(599),
  headers: z.array(z.tuple([z.string(), z.string()])),
  body: z.base64(),
});

/** One change to the claims in a message. */
export const claimChangeSchema: z.ZodType<ClaimChange> = z.union([
  z.object({
    kind: z.literal('claim'),
    key: keySchema,
    fingerprint: z.string().regex(/^[0-9a-f]{64}$/),
    holder: z.string().min(1).max(maxTextLength),
    attempt: attemptSchema,
  }),
  z.object({
    kind: z.literal('complete'),
    key: keySchema,
    attempt: attemptSchema,
    result: z.enum(['ran', 'unknown', 'not_run']),
    answer: createOptionalSchema(storedAnswerSchema),
  }),
]);

/** Input of `claims.decideBatch`. */
export const claimBatchSchema: z.ZodType<ClaimBatch> = z.object({
  changes: z.array(claimChangeSchema).max(maxChangesPerMessage),
  deadline: z.number(),
  mayForward: z.boolean(),
});

const claimDecisionSchema: z.ZodType<ClaimDecision> = z.union([
  z.object({ kind: z.literal('granted') }),
  z.object({ kind: z.literal('recorded') }),
  z.object({ kind: z.literal('replayed'), answer: storedAnswerSchema }),
  z.object({ kind: z.literal('refused'), failure: failureSchema }),
]);

/** Output of `claims.decideBatch`. */
export const claimDecisionsSchema = createResultSchema<readonly ClaimDecision[]>(
  z.array(claimDecisionSchema),
);
