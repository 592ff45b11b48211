import * as z from 'zod';

import type { ControlReply } from '../../domain/control/ControlCommand.ts';
import type { ControlHostInfo, EntryHostInfo } from '../../domain/fleet/FleetHosts.ts';
import type { FeedAnswer, FeedRequest } from '../../ports/FleetLink.ts';
import { createOptionalSchema, createResultSchema } from './failureSchema.ts';
import { numberedPresetSchema, registeredSchema } from './registryMessages.ts';

const maxWaitMs = 30_000;

const controlHostSchema: z.ZodType<ControlHostInfo> = z.object({
  address: z.string(),
  operatorsAddress: z.string(),
  failureDomain: z.string(),
});

const entryHostSchema: z.ZodType<EntryHostInfo> = z.object({
  host: z.string(),
  address: z.string(),
  failureDomain: z.string(),
});

/** Control hosts in a message. */
export const controlHostsSchema = z.array(controlHostSchema).max(1000);

/** Input of `fleet.follow`. */
export const feedRequestSchema: z.ZodType<FeedRequest> = z.object({
  entryHost: entryHostSchema,
  groupId: z.string(),
  position: z.int().min(0),
  presetNumber: createOptionalSchema(z.number()),
  hostsVersion: z.string(),
  wantsHostsOnly: z.boolean(),
  waitMs: z.number().min(0).max(maxWaitMs),
  // Entry hosts of an earlier version don't send it.
  waitsUntilCurrent: z.boolean().default(false),
});

/** Answer of `fleet.follow`. */
export const feedAnswerSchema = createResultSchema<FeedAnswer>(
  z.object({
    isCurrent: z.boolean(),
    groupId: z.string(),
    position: z.int().min(0),
    preset: createOptionalSchema(numberedPresetSchema),
    upstreams: z.object({ isWhole: z.boolean(), records: z.array(registeredSchema) }),
    hosts: createOptionalSchema(
      z.object({
        version: z.string(),
        controlHosts: controlHostsSchema,
        entryHosts: z.array(entryHostSchema),
      }),
    ),
  }),
);

/** Answer of `fleet.meet`. */
export const hostExchangeAnswerSchema =
  createResultSchema<readonly ControlHostInfo[]>(controlHostsSchema);

/** Answer of `fleet.propose`. */
export const proposeAnswerSchema = createResultSchema<ControlReply>(
  z.object({
    kind: z.literal('accepted'),
    registryEffect: createOptionalSchema(z.enum(['changed', 'unchanged', 'stale'])),
  }),
);
