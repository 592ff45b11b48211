import * as z from 'zod';

import type PresetState from '../../domain/presets/PresetState.ts';
import type { ConfirmationAsker } from '../../ports/PresetLink.ts';
import presetSchema, { earlierSizeSchema } from './presetSchema.ts';

const countSchema = z.int().min(0);

/** A preset state in a message between hosts. */
export const presetStateSchema: z.ZodType<PresetState> = z.object({
  groupId: z.string().min(1).max(64),
  revision: z.int().min(1),
  name: z.string().max(63),
  preset: presetSchema,
  earlierSizes: z.array(earlierSizeSchema).optional(),
});

/** Input of `presets.watch`. */
export const watchInputSchema = z.object({ afterRevision: countSchema, deadline: z.number() });

/** Input of `presets.confirm`. */
export const confirmInputSchema = z.object({
  deadline: z.number(),
  asker: z.enum(['entry', 'control']) satisfies z.ZodType<ConfirmationAsker>,
});

/** Validates a preset state from a peer; undefined when it is malformed. */
export function checkPresetState(value: unknown): PresetState | undefined {
  return presetStateSchema.safeParse(value).data;
}
