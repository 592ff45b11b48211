import type Result from '../../domain/errors/Result.ts';
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

/**
 * Handles the messages of other replicas. Front ends call these methods; the returned promises
 * never reject.
 */
export default interface ReplicationHandler {
  handleStatus(): Promise<Result<ReplicaStatus>>;
  handleGroup(request: GroupRequest): Promise<Result<void>>;
  handleVote(request: VoteRequest): Promise<Result<VoteAnswer>>;
  handleAppend(request: AppendRequest): Promise<Result<AppendAnswer>>;
  handleSnapshot(request: SnapshotRequest): Promise<Result<SnapshotAnswer>>;
  handleTransfer(request: MessageHeader): Promise<Result<void>>;
}
