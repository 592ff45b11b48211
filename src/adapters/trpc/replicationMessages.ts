import * as z from 'zod';

import type Result from '../../domain/errors/Result.ts';
import type LogEntry from '../../domain/replication/LogEntry.ts';
import type { ReplicaStatus } from '../../domain/replication/decideBootstrap.ts';
import type {
  AppendAnswer,
  AppendRequest,
  GroupRequest,
  MessageHeader,
  SnapshotAnswer,
  SnapshotRequest,
  VoteAnswer,
  VoteRequest,
} from '../../ports/ReplicationLink.ts';
import failureSchema, { createOptionalSchema, createResultSchema } from './failureSchema.ts';

const countSchema = z.int().nonnegative();
const memberSchema = z.object({ replicaId: z.string(), host: z.string() });
const groupSchema = z.object({ groupId: z.string(), founders: z.array(memberSchema) });

const headerFields = {
  groupId: z.string(),
  to: z.string(),
  from: z.string(),
  fromHost: z.string(),
  term: countSchema,
};

const contentSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('command'), command: z.unknown() }),
  z.object({
    kind: z.literal('configuration'),
    configuration: z.object({ voters: z.array(memberSchema) }),
  }),
  z.object({ kind: z.literal('term_start') }),
]);

const entrySchema: z.ZodType<LogEntry> = z.object({
  index: countSchema,
  term: countSchema,
  proposedAt: z.number(),
  content: contentSchema,
});

/** Message with which a leader asks a follower to take over the leadership. */
export const messageHeaderSchema: z.ZodType<MessageHeader> = z.object(headerFields);

/** Proposal of a replica group to a host with an empty data folder. */
export const groupRequestSchema: z.ZodType<GroupRequest> = z.object({
  to: z.string(),
  group: groupSchema,
});

/** Request for a vote or a pre-vote. */
export const voteRequestSchema: z.ZodType<VoteRequest> = z.object({
  ...headerFields,
  kind: z.enum(['pre_vote', 'vote']),
  lastIndex: countSchema,
  lastTerm: countSchema,
  isTransfer: z.boolean(),
});

/** Request to append log entries. */
export const appendRequestSchema: z.ZodType<AppendRequest> = z.object({
  ...headerFields,
  previousIndex: countSchema,
  previousTerm: countSchema,
  entries: z.array(entrySchema),
  commitIndex: countSchema,
  // Messages of earlier releases lack it.
  quorumAgeMs: z.number().nonnegative().default(0),
});

/** Request to store a chunk of a snapshot. */
export const snapshotRequestSchema: z.ZodType<SnapshotRequest> = z.object({
  ...headerFields,
  snapshotIndex: countSchema,
  snapshotTerm: countSchema,
  offset: countSchema,
  size: countSchema,
  piece: z.base64(),
});

/** Answer without a value; JSON omits undefined values. */
export const emptyAnswerSchema: z.ZodType<Result<void>> = z.union([
  z.object({ ok: z.literal(true) }).transform((): Result<void> => ({ ok: true, value: undefined })),
  z.object({ ok: z.literal(false), failure: failureSchema }),
]);

/** Answer to a status request. */
export const statusAnswerSchema = createResultSchema<ReplicaStatus>(
  z.object({
    host: z.string(),
    replicaId: z.string(),
    group: createOptionalSchema(groupSchema),
  }),
);

/** Answer to a vote request. */
export const voteAnswerSchema = createResultSchema<VoteAnswer>(
  z.object({ term: countSchema, isGranted: z.boolean() }),
);

/** Answer to a request to append entries. */
export const appendAnswerSchema = createResultSchema<AppendAnswer>(
  z.object({ term: countSchema, isAccepted: z.boolean(), index: countSchema }),
);

/** Answer to a chunk of a snapshot. */
export const snapshotAnswerSchema = createResultSchema<SnapshotAnswer>(
  z.object({ term: countSchema, receivedBytes: countSchema }),
);
