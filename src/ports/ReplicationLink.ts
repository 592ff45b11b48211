import type Result from '../domain/errors/Result.ts';
import type LogEntry from '../domain/replication/LogEntry.ts';
import type { ReplicaGroup } from '../domain/replication/ReplicaConfiguration.ts';
import type { ReplicaStatus } from '../domain/replication/decideBootstrap.ts';

/** Names the sender and the replica that a message is meant for. */
export interface MessageHead {
  readonly groupId: string;
  readonly to: string;
  readonly from: string;
  /** Host name of the sender. */
  readonly fromHost: string;
  /** The sender's term; a pre-vote names the term that the sender would start. */
  readonly term: number;
}

/** Asks for a vote, or whether a vote would be granted. */
export interface VoteRequest extends MessageHead {
  readonly kind: 'pre_vote' | 'vote';
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly isTransfer: boolean;
}

/** The answer to a vote request. */
export interface VoteAnswer {
  readonly term: number;
  readonly isGranted: boolean;
}

/** Entries that follow the previous one; without entries it is a heartbeat. */
export interface AppendRequest extends MessageHead {
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
}

/** `index` is the last matching synced entry, or the last one that may match when refused. */
export interface AppendAnswer {
  readonly term: number;
  readonly isAccepted: boolean;
  readonly index: number;
}

/** One chunk of a snapshot file. */
export interface SnapshotRequest extends MessageHead {
  readonly snapshotIndex: number;
  readonly snapshotTerm: number;
  readonly offset: number;
  /** Size of the whole file in bytes. */
  readonly size: number;
  /** Base64 of the chunk. */
  readonly piece: string;
}

/** `receivedBytes` is the offset of the chunk that is expected next. */
export interface SnapshotAnswer {
  readonly term: number;
  readonly receivedBytes: number;
}

/** Proposes a group to a host with an empty folder. */
export interface GroupRequest {
  readonly to: string;
  readonly group: ReplicaGroup;
}

/** The messages of one replica to another. Every call ends by its deadline and never rejects. */
export default interface ReplicationLink {
  /** Host name of the peer. */
  readonly host: string;
  requestStatus(deadline: number): Promise<Result<ReplicaStatus>>;
  /** Answers once the group is on the peer's synced disk. */
  sendGroup(request: GroupRequest, deadline: number): Promise<Result<void>>;
  requestVote(request: VoteRequest, deadline: number): Promise<Result<VoteAnswer>>;
  sendEntries(request: AppendRequest, deadline: number): Promise<Result<AppendAnswer>>;
  sendSnapshot(request: SnapshotRequest, deadline: number): Promise<Result<SnapshotAnswer>>;
  /** Asks the peer to start an election at once. */
  transferLeadership(request: MessageHead, deadline: number): Promise<Result<void>>;
}
