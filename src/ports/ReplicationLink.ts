import type Result from '../domain/errors/Result.ts';
import type LogEntry from '../domain/replication/LogEntry.ts';
import type { ReplicaGroup } from '../domain/replication/ReplicaConfiguration.ts';
import type { ReplicaStatus } from '../domain/replication/decideBootstrap.ts';

/** Sender and receiver of a replication message. */
export interface MessageHeader {
  readonly groupId: string;
  readonly to: string;
  readonly from: string;
  /** Host name of the sender. */
  readonly fromHost: string;
  /** The sender's term; a pre-vote names the term that the sender would start. */
  readonly term: number;
}

/** Requests a vote; a pre-vote asks whether the vote would be granted. */
export interface VoteRequest extends MessageHeader {
  readonly kind: 'pre_vote' | 'vote';
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly isTransfer: boolean;
}

/** The answer to a vote request; `term` is the term of the replica that answers. */
export interface VoteAnswer {
  readonly term: number;
  readonly isGranted: boolean;
}

/** Entries to append after the previous one; a heartbeat when there are none. */
export interface AppendRequest extends MessageHeader {
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Time since the sender last had contact with a majority, in milliseconds. */
  readonly quorumAgeMs: number;
}

/**
 * The answer to an append request. `index` is the index of the last matching entry that the peer
 * has synced or, when it refused the entries, of the last entry that may match.
 */
export interface AppendAnswer {
  readonly term: number;
  readonly isAccepted: boolean;
  readonly index: number;
}

/** One chunk of a snapshot file. */
export interface SnapshotRequest extends MessageHeader {
  readonly snapshotIndex: number;
  readonly snapshotTerm: number;
  readonly offset: number;
  /** Size of the whole file in bytes. */
  readonly size: number;
  /** Base64 of the chunk. */
  readonly piece: string;
}

/** The answer to a snapshot chunk; `receivedBytes` is the offset of the chunk expected next. */
export interface SnapshotAnswer {
  readonly term: number;
  readonly receivedBytes: number;
}

/** Proposes a replica group to a host with an empty data folder. */
export interface GroupRequest {
  readonly to: string;
  readonly group: ReplicaGroup;
}

/**
 * Sends the messages of one replica to another. Every call resolves by its deadline and never
 * rejects.
 */
export default interface ReplicationLink {
  /** Host name of the peer. */
  readonly host: string;
  requestStatus(deadline: number): Promise<Result<ReplicaStatus>>;
  /** Resolves once the peer has stored the group on disk and synced it. */
  sendGroup(request: GroupRequest, deadline: number): Promise<Result<void>>;
  requestVote(request: VoteRequest, deadline: number): Promise<Result<VoteAnswer>>;
  sendEntries(request: AppendRequest, deadline: number): Promise<Result<AppendAnswer>>;
  sendSnapshot(request: SnapshotRequest, deadline: number): Promise<Result<SnapshotAnswer>>;
  /** Asks the peer to start an election immediately. */
  transferLeadership(request: MessageHeader, deadline: number): Promise<Result<void>>;
}
