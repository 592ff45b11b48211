import FailureError from '../../domain/errors/FailureError.ts';
import type Result from '../../domain/errors/Result.ts';
import type { ReplicaStatus } from '../../domain/replication/decideBootstrap.ts';
import decideVote from '../../domain/replication/decideVote.ts';
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
import type ElectionTask from './ElectionTask.ts';
import type BootstrapTask from './BootstrapTask.ts';
import type ReplicaContext from './ReplicaContext.ts';
import type ReplicationHandler from './ReplicationHandler.ts';
import type SnapshotReceiver from './SnapshotReceiver.ts';

// A few messages of each control host of the largest group (docs/design.md, section 1.5); each has
// up to 1 MiB of entries or of a snapshot.
const maxWaitingMessages = 32;

/** Handles the messages of other replicas, one at a time. */
export default class MessageHandler<Command, Reply> implements ReplicationHandler {
  private readonly context: ReplicaContext<Command, Reply>;

  private readonly elections: ElectionTask<Command, Reply>;

  private readonly bootstrap: BootstrapTask<Command, Reply>;

  private readonly receiver: SnapshotReceiver<Command, Reply>;

  /** Messages that are handled, or wait for the disk. */
  private waitingMessages = 0;

  constructor(options: {
    readonly context: ReplicaContext<Command, Reply>;
    readonly elections: ElectionTask<Command, Reply>;
    readonly bootstrap: BootstrapTask<Command, Reply>;
    readonly receiver: SnapshotReceiver<Command, Reply>;
  }) {
    this.context = options.context;
    this.elections = options.elections;
    this.bootstrap = options.bootstrap;
    this.receiver = options.receiver;
  }

  async handleStatus(): Promise<Result<ReplicaStatus>> {
    return { ok: true, value: this.context.store.identity };
  }

  async handleGroup(request: GroupRequest): Promise<Result<void>> {
    const { context } = this;
    const { replicaId, group } = context.store.identity;
    const isOtherGroup = group !== undefined && group.groupId !== request.group.groupId;
    if (request.to !== replicaId || isOtherGroup) return this.refuse('join the group', request.to);
    return this.runToResult(() => this.bootstrap.joinGroup(request.group));
  }

  handleVote(request: VoteRequest): Promise<Result<VoteAnswer>> {
    const { context } = this;
    return this.handleMessage(request, async () => {
      const { lastIndex, lastTerm } = context.log;
      const { vote } = context.store;
      const { hasLeader } = context;
      const hasVoted = vote.votedFor !== request.from && context.hasVoted;
      const decision = decideVote({
        ...request,
        candidateId: request.from,
        receiver: { vote, lastIndex, lastTerm, hasLeader, hasVoted, preVote: context.preVote },
      });
      if (decision.vote.term > vote.term) await context.followTerm(decision.vote.term, undefined);
      if (decision.vote.votedFor !== context.store.vote.votedFor) {
        await context.store.saveVote(decision.vote);
      }
      if (decision.isGranted && request.kind === 'pre_vote') {
        context.recordPreVote({ ...request, candidateId: request.from });
      }
      if (decision.isGranted && request.kind === 'vote') {
        context.electionTimerStartedAt = context.now;
        context.votedAt = context.now;
      }
      return { term: context.term, isGranted: decision.isGranted };
    });
  }

  async handleAppend(request: AppendRequest): Promise<Result<AppendAnswer>> {
    const first = request.previousIndex + 1;
    if (request.entries.some(({ index }, position) => index !== first + position)) {
      const message = `append from "${request.fromHost}": expected consecutive entries, starting at index ${first}`;
      return { ok: false, failure: { kind: 'message_invalid', message } };
    }
    return this.handleMessage(request, async () => {
      if (!(await this.followLeader(request))) return this.createAppendAnswer(false, 0);
      const { log } = this.context;
      const { previousIndex, entries, quorumAgeMs } = request;
      this.context.recordLeaderQuorum(quorumAgeMs);
      const previousTerm = log.readTerm(previousIndex);
      // Committed entries are the same in the log of every later leader.
      const isMatching =
        previousIndex <= this.context.commitIndex || previousTerm === request.previousTerm;
      if (!isMatching) {
        return this.createAppendAnswer(false, this.findLastPossibleMatch(previousIndex));
      }
      await this.storeEntries(request);
      this.recordLeaderContact();
      const matchIndex = previousIndex + entries.length;
      this.context.commitThrough(Math.min(request.commitIndex, matchIndex));
      this.context.hasCaughtUp ||= this.context.commitIndex >= request.commitIndex;
      return this.createAppendAnswer(true, matchIndex);
    });
  }

  async handleSnapshot(request: SnapshotRequest): Promise<Result<SnapshotAnswer>> {
    const accepted = await this.handleMessage(request, async () => {
      const isCurrent = await this.followLeader(request);
      if (isCurrent) await this.receiver.acceptChunk(request);
      if (isCurrent) this.recordLeaderContact();
      return isCurrent;
    });
    if (!accepted.ok) return accepted;
    // Waits outside of `serial`, so that votes and entries are handled during the installation.
    const receivedBytes = accepted.value ? await this.receiver.waitInstalled(request) : 0;
    return { ok: true, value: { term: this.context.term, receivedBytes } };
  }

  handleTransfer(request: MessageHeader): Promise<Result<void>> {
    return this.handleMessage(request, async () => this.elections.startTransfer(request.term));
  }

  /**
   * Follows the sender unless its term is older than that of this replica; returns whether it did.
   */
  private async followLeader(request: MessageHeader): Promise<boolean> {
    const { context } = this;
    const { term, from, fromHost } = request;
    if (term < context.term) return false;
    if (term === context.term && context.leadership) {
      throw new Error(`two leaders in term ${term}: "${fromHost}" and this host`);
    }
    await context.followTerm(term, { replicaId: from, host: fromHost });
    this.recordLeaderContact();
    return true;
  }

  /**
   * Also called after a write, because further messages of the leader have to wait while this
   * replica writes.
   */
  private recordLeaderContact(): void {
    const { context } = this;
    if (!context.hasLeader) context.hasCaughtUp = false;
    context.leaderContactAt = context.now;
    context.electionTimerStartedAt = context.now;
  }

  private async storeEntries({ entries }: AppendRequest): Promise<void> {
    const { context } = this;
    const { log } = context;
    const missing = entries.filter(
      ({ index, term }) => index > context.commitIndex && log.readTerm(index) !== term,
    );
    const [first] = missing;
    if (first && first.index <= log.lastIndex) await log.truncateFrom(first.index);
    missing.forEach((entry) => log.addEntry(entry));
    await log.syncEntries();
  }

  /**
   * Returns the highest index at which the leader's log may match. Skips all entries of the
   * conflicting term, so that a long conflicting suffix takes few messages.
   */
  private findLastPossibleMatch(previousIndex: number): number {
    const { log, commitIndex } = this.context;
    if (previousIndex > log.lastIndex) return log.lastIndex;
    const conflictingTerm = log.readTerm(previousIndex);
    let index = previousIndex - 1;
    while (index > commitIndex && log.readTerm(index) === conflictingTerm) index -= 1;
    return index;
  }

  private createAppendAnswer(isAccepted: boolean, index: number): AppendAnswer {
    return { term: this.context.term, isAccepted, index };
  }

  private handleMessage<Value>(
    header: MessageHeader,
    work: () => Promise<Value>,
  ): Promise<Result<Value>> {
    return this.runToResult(async () => {
      const { replicaId, group } = this.context.store.identity;
      if (header.to === replicaId && header.groupId === group?.groupId) {
        return this.runWaiting(header, work);
      }
      const refusal = this.refuse(`message from "${header.fromHost}"`, header.to);
      throw new FailureError(refusal.failure);
    });
  }

  private async runWaiting<Value>(
    { fromHost }: MessageHeader,
    work: () => Promise<Value>,
  ): Promise<Value> {
    const { waitingMessages, context } = this;
    if (waitingMessages >= maxWaitingMessages) {
      const message = `message from "${fromHost}": host "${context.ownMember.host}" has ${waitingMessages} others that wait for its disk: expected fewer than ${maxWaitingMessages}`;
      throw new FailureError({ kind: 'host_not_ready', message });
    }
    this.waitingMessages += 1;
    try {
      return await context.runSerial(work);
    } finally {
      this.waitingMessages -= 1;
    }
  }

  private async runToResult<Value>(work: () => Promise<Value>): Promise<Result<Value>> {
    try {
      return { ok: true, value: await work() };
    } catch (error) {
      if (error instanceof FailureError) return { ok: false, failure: error.failure };
      return { ok: false, failure: { kind: 'internal', message: (error as Error).message } };
    }
  }

  private refuse(call: string, to: string) {
    const { replicaId, host, group } = this.context.store.identity;
    const message = `${call}: addressed to replica ${to}: host "${host}" has replica ${replicaId} of group ${group?.groupId ?? 'none'}`;
    return { ok: false, failure: { kind: 'wrong_replica', message } } as const;
  }
}
