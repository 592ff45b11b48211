import type Result from '../../domain/errors/Result.ts';
import type { HostStatus } from '../../domain/replication/decideGroup.ts';
import type {
  AppendAnswer,
  AppendRequest,
  GroupRequest,
  MessageHead,
  SnapshotAnswer,
  SnapshotRequest,
  VoteAnswer,
  VoteRequest,
} from '../../ports/ReplicationLink.ts';

/** Answers the messages of other replicas; front ends call it. Never rejects. */
export default interface ReplicationHandler {
  answerStatus(): Promise<Result<HostStatus>>;
  answerGroup(request: GroupRequest): Promise<Result<void>>;
  answerVote(request: VoteRequest): Promise<Result<VoteAnswer>>;
  answerAppend(request: AppendRequest): Promise<Result<AppendAnswer>>;
  answerSnapshot(request: SnapshotRequest): Promise<Result<SnapshotAnswer>>;
  answerTransfer(request: MessageHead): Promise<Result<void>>;
}
