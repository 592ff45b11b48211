import * as z from 'zod';

import type Preset from '../../domain/presets/Preset.ts';
import { maxRoutes, routeMethods } from '../../domain/presets/presetLimits.ts';
import { maxTeams } from '../../domain/presets/teamLimits.ts';

/** An earlier number of entry hosts and when it was replaced. */
export const earlierSizeSchema = z.object({ entryHosts: z.int(), replacedAt: z.number() });

const serviceSchema = z.object({
  upstreams: z.int(),
  floor: z.int(),
  detection: z.enum(['fast', 'sure']),
  retryShare: z.number(),
  rampMs: z.int(),
  echoRequestId: z.boolean(),
  objective: z.object({ goodShare: z.number(), withinMs: z.int() }),
});

const routeSchema = z.object({
  method: z.enum(routeMethods),
  path: z.string(),
  service: z.string(),
  repeat: z.enum(['allowed', 'never']),
  key: z.enum(['required', 'generated']),
  deadlineMs: z.int(),
  maxBodyBytes: z.int(),
  maxAnswerBytes: z.int(),
  isPublic: z.boolean().optional(),
});

const teamSchema = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  priority: z.int().optional(),
  requestsPerSecond: z.number().optional(),
  burst: z.number(),
});

/** A preset in a message; `checkPreset` validates its values. */
const presetSchema: z.ZodType<Preset> = z.object({
  fleet: z.object({ entryHosts: z.int() }),
  services: z.record(z.string(), serviceSchema),
  routes: z.array(routeSchema).max(maxRoutes),
  // Absent, not empty, in presets without teams, so that their fingerprints stay the same.
  teams: z.array(teamSchema).max(maxTeams).optional(),
});

export default presetSchema;
