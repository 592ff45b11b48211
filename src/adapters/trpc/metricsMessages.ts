import * as z from 'zod';

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
