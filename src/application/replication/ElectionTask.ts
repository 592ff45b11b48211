import type { Member } from '../../domain/replication/ReplicaConfiguration.ts';
import computeMajorityValue from '../../domain/replication/computeMajorityValue.ts';
import type ReplicaContext from './ReplicaContext.ts';

/** The fields of a vote request that are the same for all voters. */
interface Ballot {
  readonly kind: 'pre_vote' | 'vote';
  readonly term: number;
  readonly isTransfer: boolean;
}

/**
 * Starts an election when this replica has no contact with a leader, and steps down as leader when
 * it has no contact with a majority.
 */
export default class ElectionTask<Command, Reply> {
  private readonly context: ReplicaContext<Command, Reply>;

  /** Term of the leader that transfers its leadership to this replica. */
  private transferTerm: number | undefined;

  private pendingCalls: Promise<void>[] = [];

  constructor(context: ReplicaContext<Command, Reply>) {
    this.context = context;
  }

  /** Runs until the replica stops. */
  async runElections(): Promise<void> {
    const { context } = this;
    while (!context.isStopped) {
      if (context.leadership) await this.watchQuorum();
      else await this.watchLeader();
    }
    await Promise.all(this.pendingCalls);
  }

  /**
   * Makes this replica start an election without waiting for the election timeout, if it is still
   * in the given term.
   */
  startTransfer(term: number): void {
    this.transferTerm = term;
    this.context.changes.announceChange();
  }

  private async watchQuorum(): Promise<void> {
    const { context } = this;
    const { leadership } = context;
    if (!leadership) return;
    const deadline = leadership.computeQuorumDeadline(
      context.configuration,
      context.times.maxElectionTimeoutMs,
    );
    if (context.now >= deadline) {
      context.options.log.warn('replication: stepping down: no majority of the voters answered', {
        term: leadership.term,
      });
      context.endLeadership();
      return;
    }
    await context.changes.waitUntil(() => !leadership.isActive, deadline);
  }

  private async watchLeader(): Promise<void> {
    const { context } = this;
    const { minElectionTimeoutMs, maxElectionTimeoutMs } = context.times;
    const rangeMs = maxElectionTimeoutMs - minElectionTimeoutMs;
    const timeoutMs = minElectionTimeoutMs + context.options.random.next() * rangeMs;
    const getDeadline = (): number =>
      Math.max(context.electionTimerStartedAt + timeoutMs, context.preVoteUntil);
    while (context.now < getDeadline()) {
      await context.changes.waitUntil(() => context.isStopped || this.hasTransfer(), getDeadline());
      if (context.isStopped || this.hasTransfer()) break;
    }
    if (context.isStopped) return;
    const isTransfer = this.hasTransfer();
    this.transferTerm = undefined;
    context.electionTimerStartedAt = context.now;
    if (context.isVoter) await this.runElection(isTransfer);
  }

  private hasTransfer(): boolean {
    return this.transferTerm === this.context.term;
  }

  private async runElection(isTransfer: boolean): Promise<void> {
    const { context } = this;
    const { term } = context;
    const ballot = { term: term + 1, isTransfer };
    if (!isTransfer && !(await this.requestPreVotes(ballot))) return;
    const isCandidate = await this.startCandidacy(term, isTransfer);
    if (!isCandidate || !(await this.requestVotes({ kind: 'vote', ...ballot }))) return;
    await context.runSerial(async () => {
      if (context.role === 'candidate' && context.term === ballot.term) context.startLeadership();
    });
  }

  private async requestPreVotes(ballot: Omit<Ballot, 'kind'>): Promise<boolean> {
    const { context } = this;
    const { lastIndex, lastTerm } = context.log;
    const { replicaId: candidateId } = context.ownMember;
    context.recordPreVote({ candidateId, lastIndex, lastTerm });
    const isWon = await this.requestVotes({ kind: 'pre_vote', ...ballot });
    // In the meantime, this replica may have granted a candidate that is preferred.
    return isWon && (context.preVote?.candidateId ?? candidateId) === candidateId;
  }

  private startCandidacy(term: number, isTransfer: boolean): Promise<boolean> {
    const { context } = this;
    return context.runSerial(async () => {
      const hasLeader = context.now < context.leaderContactAt + context.times.minElectionTimeoutMs;
      if (context.term !== term || context.leadership || (hasLeader && !isTransfer)) return false;
      // The vote request reports the last entry of the log, which may be only in memory, so the
      // entries are synced first.
      await context.log.syncEntries();
      await context.store.saveVote({ term: term + 1, votedFor: context.ownMember.replicaId });
      context.role = 'candidate';
      context.leader = undefined;
      context.electionTimerStartedAt = context.now;
      context.votedAt = context.now;
      return true;
    });
  }

  /** Sends the ballot to all voters; returns whether a majority granted it before the deadline. */
  private async requestVotes(ballot: Ballot): Promise<boolean> {
    const { context } = this;
    const granted = new Set([context.ownMember.replicaId]);
    const isWon = (): boolean =>
      computeMajorityValue(context.configuration, ({ replicaId }) =>
        granted.has(replicaId) ? 1 : 0,
      ) === 1;
    if (isWon()) return true;
    const finished = new AbortController();
    const { now: startedAt } = context;
    // Late votes count: after a lost ballot this replica waits at least as long for the next one.
    const deadline = startedAt + context.times.minElectionTimeoutMs;
    let answers = 0;
    const calls = context.configuration.voters.map(async (voter) => {
      const isGranted = await this.requestVote(ballot, voter, deadline);
      if (isGranted !== undefined) answers += 1;
      if (isGranted) granted.add(voter.replicaId);
      if (isWon()) finished.abort();
    });
    const allCalls = Promise.all(calls).then(() => finished.abort());
    // Calls that are still pending when the election is decided finish by their deadline.
    this.pendingCalls = [allCalls, Promise.all(this.pendingCalls).then(() => undefined)];
    await context.options.clock.sleepUntil(deadline, finished.signal);
    context.options.log.info('replication: a ballot has ended', {
      ...ballot,
      isWon: isWon(),
      granted: granted.size,
      answers,
      voters: context.configuration.voters.length,
      tookMs: Math.round(context.now - startedAt),
    });
    return isWon();
  }

  /** Returns whether the voter granted its vote; undefined if it gave no answer. */
  private async requestVote(
    ballot: Ballot,
    voter: Member,
    deadline: number,
  ): Promise<boolean | undefined> {
    const { context } = this;
    const link = context.links.find(({ host }) => host === voter.host);
    if (!link || voter.replicaId === context.ownMember.replicaId) return undefined;
    const { lastIndex, lastTerm } = context.log;
    const header = context.createHeader(voter.replicaId, ballot.term);
    const answer = await link.requestVote({ ...header, ...ballot, lastIndex, lastTerm }, deadline);
    if (!answer.ok) return undefined;
    await context.acceptTerm(answer.value.term);
    return answer.value.isGranted;
  }
}
