import * as z from 'zod';

import type Result from '../../domain/errors/Result.ts';
import type ReplicationHandler from '../../application/replication/ReplicationHandler.ts';
import {
  appendRequestSchema,
  groupRequestSchema,
  messageHeaderSchema,
  snapshotRequestSchema,
  voteRequestSchema,
} from './replicationMessages.ts';
import parseInput from './parseInput.ts';
import { procedure, router } from './trpcBase.ts';

/**
 * Creates a procedure that returns errors as data; malformed input is answered with
 * `message_invalid`.
 */
function createProcedure<Input, Output>(options: {
  readonly path: string;
  readonly schema: z.ZodType<Input>;
  readonly answer: (input: Input) => Promise<Result<Output>>;
}) {
  const { path, schema, answer } = options;
  return procedure.input(z.unknown()).mutation(async ({ input }): Promise<Result<Output>> => {
    const parsed = parseInput(path, schema, input);
    return parsed.ok ? answer(parsed.value) : parsed;
  });
}

/** Creates the procedures that other replicas call, to be mounted under the key `replication`. */
export default function createReplicationRouter(handler: ReplicationHandler) {
  return router({
    status: createProcedure({
      path: 'replication.status',
      schema: z.unknown(),
      answer: () => handler.handleStatus(),
    }),
    group: createProcedure({
      path: 'replication.group',
      schema: groupRequestSchema,
      answer: (request) => handler.handleGroup(request),
    }),
    vote: createProcedure({
      path: 'replication.vote',
      schema: voteRequestSchema,
      answer: (request) => handler.handleVote(request),
    }),
    append: createProcedure({
      path: 'replication.append',
      schema: appendRequestSchema,
      answer: (request) => handler.handleAppend(request),
    }),
    snapshot: createProcedure({
      path: 'replication.snapshot',
      schema: snapshotRequestSchema,
      answer: (request) => handler.handleSnapshot(request),
    }),
    transfer: createProcedure({
      path: 'replication.transfer',
      schema: messageHeaderSchema,
      answer: (request) => handler.handleTransfer(request),
    }),
  });
}
