import * as z from 'zod';

import type HostRecord from '../../domain/membership/HostRecord.ts';
import type UpstreamRecord from '../../domain/membership/UpstreamRecord.ts';
import type { GossipMessage } from '../../ports/GossipLink.ts';
import { addressTextSchema } from '../yaml/listenAddressSchema.ts';

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/);
const countSchema = z.int().min(0);
const instantSchema = z.number().min(0);

const upstreamRecordSchema: z.ZodType<UpstreamRecord> = z.object({
  service: nameSchema,
  upstream: nameSchema,
  address: addressTextSchema,
  failureDomain: nameSchema,
  slots: z.int().min(1).max(10_000),
  incarnation: countSchema,
  sequence: countSchema,
  state: z.enum(['starting', 'serving', 'leaving']),
  servingSince: instantSchema,
  leaseDeadline: instantSchema,
});

const hostRecordSchema: z.ZodType<HostRecord> = z.object({
  host: nameSchema,
  role: z.enum(['entry', 'control']),
  peerAddress: addressTextSchema,
  failureDomain: nameSchema,
  incarnation: countSchema,
  sequence: countSchema,
  state: z.enum(['starting', 'ready', 'stopping']),
  revision: countSchema,
  presetName: z.string().max(63),
  leaseDeadline: instantSchema,
});

const digestSchema = z.record(z.string().max(256), z.array(z.number()).max(8));

// Unknown topics are dropped, so that hosts of different versions can exchange gossip.
function createTopicsSchema<Value extends z.ZodType>(value: Value) {
  return z.object({
    upstreams: value.optional(),
    hosts: value.optional(),
    verdicts: value.optional(),
    preset: value.optional(),
  });
}

/** A message of `gossip.exchange` and its answer; each topic validates its own records. */
export const gossipMessageSchema: z.ZodType<GossipMessage> = z.object({
  digests: createTopicsSchema(digestSchema),
  records: createTopicsSchema(z.array(z.unknown())),
  since: instantSchema.optional(),
  preparedAt: instantSchema.optional(),
  mustRestart: z.boolean().optional(),
});

/** Validates an upstream's record from a peer; undefined when it is malformed. */
export function checkUpstreamRecord(value: unknown): UpstreamRecord | undefined {
  return upstreamRecordSchema.safeParse(value).data;
}

/** Validates a host's record from a peer; undefined when it is malformed. */
export function checkHostRecord(value: unknown): HostRecord | undefined {
  return hostRecordSchema.safeParse(value).data;
}
