import type * as z from 'zod';

import type Result from '../../domain/errors/Result.ts';
import type { ReplicaStatus } from '../../domain/replication/decideBootstrap.ts';
import type ReplicationLink from '../../ports/ReplicationLink.ts';
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
import type TrpcPeerConnection from './TrpcPeerConnection.ts';
import {
  appendAnswerSchema,
  emptyAnswerSchema,
  snapshotAnswerSchema,
  statusAnswerSchema,
  voteAnswerSchema,
} from './replicationMessages.ts';

/** Sends a replica's messages over the connection to one peer. */
export default class TrpcReplicationLink implements ReplicationLink {
  readonly host: string;

  private readonly connection: TrpcPeerConnection;

  constructor(options: { readonly host: string; readonly connection: TrpcPeerConnection }) {
    this.host = options.host;
    this.connection = options.connection;
  }

  requestStatus(deadline: number): Promise<Result<ReplicaStatus>> {
    return this.request('replication.status', {}, statusAnswerSchema, deadline);
  }

  sendGroup(input: GroupRequest, deadline: number): Promise<Result<void>> {
    return this.request('replication.group', input, emptyAnswerSchema, deadline);
  }

  requestVote(input: VoteRequest, deadline: number): Promise<Result<VoteAnswer>> {
    return this.request('replication.vote', input, voteAnswerSchema, deadline);
  }

  sendEntries(input: AppendRequest, deadline: number): Promise<Result<AppendAnswer>> {
    return this.request('replication.append', input, appendAnswerSchema, deadline);
  }

  sendSnapshot(input: SnapshotRequest, deadline: number): Promise<Result<SnapshotAnswer>> {
    return this.request('replication.snapshot', input, snapshotAnswerSchema, deadline);
  }

  transferLeadership(input: MessageHeader, deadline: number): Promise<Result<void>> {
    return this.request('replication.transfer', input, emptyAnswerSchema, deadline);
  }

  private request<Value>(
    path: string,
    input: unknown,
    output: z.ZodType<Result<Value>>,
    deadline: number,
  ): Promise<Result<Value>> {
    return this.connection.requestResult({ path, input, output, deadline });
  }
}
