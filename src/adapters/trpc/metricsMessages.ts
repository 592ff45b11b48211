import * as z from 'zod';

import { maxTeams } from '../../domain/presets/teamLimits.ts';
import type { HostTeamCounts } from '../../ports/TeamCountsLink.ts';
import { createOptionalSchema } from './failureSchema.ts';

const countsSchema = z.object({ good: z.number().min(0), bad: z.number().min(0) });

/** Good and bad requests of a service in each burn window. */
export const windowCountsSchema = z.object({
  '5m': countsSchema,
  '1h': countsSchema,
  '6h': countsSchema,
  '3d': countsSchema,
});

/** Answer of `metrics.takeSnapshot`. */
export const snapshotSchema = z.object({
  host: z.string(),
  startedAt: z.number(),
  services: z.array(
    z.object({
      service: z.string(),
      counts: windowCountsSchema,
      histogram: z.string(),
    }),
  ),
});

/** Requests of a team by result. */
export const teamCountsSchema = z.object({
  admitted: z.int().min(0),
  refused: z.record(z.string().max(63), z.int().min(0)),
});

/** Answer of `metrics.takeTeamCounts`. */
export const hostTeamCountsSchema: z.ZodType<readonly HostTeamCounts[]> = z
  .array(z.object({ team: createOptionalSchema(z.string()), ...teamCountsSchema.shape }))
  .max(maxTeams);
