import { z } from 'zod';

import type Preset from '../../domain/presets/Preset.ts';
import type PresetState from '../../domain/presets/PresetState.ts';
import type { ConfirmationAsker } from '../../ports/PresetLink.ts';

const countSchema = z.int().min(0);
const shareSchema = z.number().min(0).max(1);

const serviceSchema = z.object({
  upstreams: countSchema,
  floor: countSchema,
  detection: z.enum(['fast', 'sure']),
  retryShare: shareSchema,
  rampMs: countSchema,
  echoRequestId: z.boolean(),
  objective: z.object({ goodShare: shareSchema, withinMs: countSchema }),
});

const routeSchema = z.object({
  method: z.string(),
  path: z.string().startsWith('/'),
  service: z.string(),
  repeat: z.enum(['allowed', 'never']),
  key: z.enum(['required', 'generated']),
  deadlineMs: countSchema,
  maxBodyBytes: countSchema,
  maxAnswerBytes: countSchema,
});

const presetSchema: z.ZodType<Preset> = z.object({
  fleet: z.object({ entryHosts: z.int().min(1) }),
  services: z.record(z.string(), serviceSchema),
  routes: z.array(routeSchema),
});

/** A preset state between hosts. */
export const presetStateSchema: z.ZodType<PresetState> = z.object({
  groupId: z.string().min(1).max(64),
  revision: z.int().min(1),
  name: z.string().max(63),
  preset: presetSchema,
});

/** Input of `presets.watch`. */
export const watchInputSchema = z.object({ afterRevision: countSchema, deadline: z.number() });

/** Input of `presets.confirm`. */
export const confirmInputSchema = z.object({
  deadline: z.number(),
  asker: z.enum(['entry', 'control']) satisfies z.ZodType<ConfirmationAsker>,
});

/** Returns a preset state that a peer sent when it is well-formed. */
export function checkPresetState(value: unknown): PresetState | undefined {
  return presetStateSchema.safeParse(value).data;
}
