import * as z from 'zod';

import IdempotencyKey from '../../domain/claims/IdempotencyKey.ts';
import type { ClaimRecord } from '../../domain/claims/ClaimRegistrySnapshot.ts';
import type ControlCommand from '../../domain/control/ControlCommand.ts';
import type { AcceptedChange } from '../../domain/control/ControlCommand.ts';
import type ControlSnapshot from '../../domain/control/ControlSnapshot.ts';
import FailureError from '../../domain/errors/FailureError.ts';
import { claimChangeSchema, storedAnswerSchema } from './claimMessages.ts';
import { createOptionalSchema, createResultSchema, winnerSchema } from './failureSchema.ts';
import { numberedPresetSchema, registeredSchema, registrationSchema } from './registryMessages.ts';
import presetSchema, { earlierSizeSchema } from './presetSchema.ts';

const presetChange = {
  name: z.string(),
  basedOn: z.int().min(0),
  changeId: z.string().min(1),
  operator: z.string(),
};

/** A command of the control group, as the replicated log stores it. */
export const controlCommandSchema: z.ZodType<ControlCommand> = z.union([
  z.object({ kind: z.literal('put_preset'), preset: presetSchema, ...presetChange }),
  z.object({ kind: z.literal('use_preset'), ...presetChange }),
  z.object({ kind: z.literal('change_claims'), changes: z.array(claimChangeSchema) }),
  z.object({
    kind: z.literal('put_numbered_preset'),
    number: z.number(),
    document: z.string(),
  }),
  z.object({
    kind: z.literal('register_upstream'),
    registration: registrationSchema,
    keeper: z.string(),
  }),
  z.object({
    kind: z.literal('remove_upstream'),
    upstream: z.string(),
    bornAt: createOptionalSchema(z.int()),
    state: z.enum(['gone', 'silent']),
    keeper: createOptionalSchema(z.string()),
  }),
]);

/** The revision of an accepted change in a message. */
export const acceptedChangeSchema: z.ZodType<AcceptedChange> = z.object({
  revision: z.int().min(1),
});

const claimRecordSchema: z.ZodType<ClaimRecord> = z.object({
  fingerprint: z.string(),
  holder: z.string(),
  attempt: z.string(),
  state: z.enum(['claimed', 'ran', 'unknown']),
  answer: createOptionalSchema(storedAnswerSchema),
});

const snapshotSchema: z.ZodType<ControlSnapshot> = z.object({
  claims: z.object({
    horizon: z.number(),
    keys: z.array(
      z.object({
        key: z.string().refine((key) => IdempotencyKey.parse(key).ok, 'expected a key'),
        current: createOptionalSchema(claimRecordSchema),
        released: z.array(z.string()),
      }),
    ),
  }),
  numberedPreset: createOptionalSchema(numberedPresetSchema),
  registry: createOptionalSchema(
    z.object({ records: z.array(registeredSchema), oldestKnownChange: z.int() }),
  ),
  presets: z.object({
    presets: z.array(z.object({ ...winnerSchema.shape, name: z.string(), preset: presetSchema })),
    selection: createOptionalSchema(z.object({ ...winnerSchema.shape, name: z.string() })),
    // Snapshots that an earlier version wrote lack this key.
    earlierSizes: z.array(earlierSizeSchema).default([]),
    changes: z.array(
      z.object({
        changeId: z.string(),
        fingerprint: z.string(),
        result: createResultSchema(acceptedChangeSchema),
      }),
    ),
  }),
});

/**
 * Validates a snapshot or a part of one; throws `log_damaged`, whose message names the first
 * invalid key.
 */
export function parseControlSnapshot(snapshot: unknown): ControlSnapshot {
  const parsed = snapshotSchema.safeParse(snapshot);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  const key = issue?.path.map(String).join('.') ?? '';
  const message = `snapshot: key ${key}: ${issue?.message ?? 'not valid'}`;
  throw new FailureError({ kind: 'log_damaged', message });
}
