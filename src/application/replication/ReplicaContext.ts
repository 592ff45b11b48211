import type Failure from '../../domain/errors/Failure.ts';
import FailureError from '../../domain/errors/FailureError.ts';
import Leadership from '../../domain/replication/Leadership.ts';
import type { EntryContent } from '../../domain/replication/LogEntry.ts';
import type { PreVote } from '../../domain/replication/PreVote.ts';
import type { Member } from '../../domain/replication/ReplicaConfiguration.ts';
import type ReplicaConfiguration from '../../domain/replication/ReplicaConfiguration.ts';
import type StateMachine from '../../domain/replication/StateMachine.ts';
import type Clock from '../../ports/Clock.ts';
import type Disk from '../../ports/Disk.ts';
import type Log from '../../ports/Log.ts';
import type RandomSource from '../../ports/RandomSource.ts';
import type ReplicationLink from '../../ports/ReplicationLink.ts';
import ChangeNotifier from './ChangeNotifier.ts';
import CommandApplier from './CommandApplier.ts';
import type LogStore from './LogStore.ts';
import type ReplicaStore from './ReplicaStore.ts';
import SerialExecutor from './SerialExecutor.ts';
import replicaTimes from './replicaTimes.ts';
import type { ReplicaTimes } from './replicaTimes.ts';

/** Options of a replica. */
export interface ReplicaOptions<Command, Reply> {
  /** Host name of this replica. */
  readonly host: string;
  /**
   * The hosts that form the group, in the same order on all of them; empty for a host that may only
   * join a group.
   */
  readonly hosts: readonly string[];
  /** Links to the other control hosts that are known at the start. */
  readonly links: readonly ReplicationLink[];
  readonly disk: Disk;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly state: StateMachine<Command, Reply>;
  /** A snapshot is taken after this many entries; 4,096 by default. */
  readonly snapshotEntries?: number;
  /** A snapshot is taken after this many bytes of log records; 16 MiB by default. */
  readonly snapshotBytes?: number;
  /** Snapshots are written and read in slices of this many bytes; 64 KiB by default. */
  readonly sliceBytes?: number;
  /** Snapshots are sent in chunks of this many bytes; 1 MiB by default. */
  readonly chunkBytes?: number;
  readonly times?: ReplicaTimes;
  /** Unresponsive voters are removed only while there are more voters than this; 3 by default. */
  readonly minVoters?: number;
}

/** The Raft role of a replica. */
export type ReplicaRole = 'follower' | 'candidate' | 'leader';

/**
 * The state that the tasks of one replica share. A method that says "Within `serial`" must be
 * called by work that runs in `serial`.
 */
export default class ReplicaContext<Command = unknown, Reply = unknown> {
  readonly options: ReplicaOptions<Command, Reply>;

  readonly store: ReplicaStore;

  /** Runs everything that writes to the store, one at a time. */
  readonly serial = new SerialExecutor();

  /** Wakes the tasks of this replica after each change of state that they may wait for. */
  readonly changes: ChangeNotifier;

  readonly times: ReplicaTimes;

  /** Links to the other control hosts that are known so far. */
  readonly links: ReplicationLink[];

  readonly applier: CommandApplier<Command, Reply>;

  role: ReplicaRole = 'follower';

  leader: Member | undefined;

  leadership: Leadership | undefined;

  commitIndex = 0;

  /** When the current election timeout began. */
  electionTimerStartedAt: number;

  /** The candidate, perhaps this replica, that was last granted a pre-vote. */
  private lastPreVote: PreVote | undefined;

  /** Until then, this replica leaves the election to that candidate. */
  preVoteUntil = -Infinity;

  /** When this replica last voted, for itself or for another candidate. */
  votedAt = -Infinity;

  /** When the last message of a leader was handled. */
  leaderContactAt = -Infinity;

  /** When the leader that this replica follows last had contact with a majority. */
  private leaderQuorumAt = -Infinity;

  /**
   * Whether this replica has applied everything that was committed when it last found a leader, or
   * became one.
   */
  hasCaughtUp = false;

  isStopped = false;

  /** The error that stopped the replica, if any. */
  failure: Failure | undefined;

  constructor(options: ReplicaOptions<Command, Reply>, store: ReplicaStore) {
    this.options = options;
    this.store = store;
    this.changes = new ChangeNotifier(options.clock);
    this.times = options.times ?? replicaTimes;
    this.links = [...options.links];
    this.applier = new CommandApplier(options.state);
    const { minElectionTimeoutMs, initialElectionTimeoutMs } = this.times;
    this.electionTimerStartedAt =
      options.clock.now() - (minElectionTimeoutMs - initialElectionTimeoutMs);
  }

  get now(): number {
    return this.options.clock.now();
  }

  get ownMember(): Member {
    return this.store.identity;
  }

  get log(): LogStore {
    return this.store.log;
  }

  get term(): number {
    return this.store.vote.term;
  }

  get configuration(): ReplicaConfiguration {
    return this.log.configuration.configuration;
  }

  get isVoter(): boolean {
    return this.configuration.voters.some(
      ({ replicaId }) => replicaId === this.ownMember.replicaId,
    );
  }

  /**
   * Whether this replica leads or had contact with a leader within the minimum election timeout.
   */
  get hasLeader(): boolean {
    if (this.leadership) return true;
    return this.now < this.leaderContactAt + this.times.minElectionTimeoutMs;
  }

  /** Whether this replica voted within the minimum election timeout. */
  get hasVoted(): boolean {
    return this.now < this.votedAt + this.times.minElectionTimeoutMs;
  }

  /** The candidate that was granted a pre-vote, while it may still win. */
  get preVote(): PreVote | undefined {
    return this.now < this.preVoteUntil ? this.lastPreVote : undefined;
  }

  /** When this leader, or the one that this replica follows, last had contact with a majority. */
  get quorumContactAt(): number {
    return this.leadership?.computeQuorumDeadline(this.configuration, 0) ?? this.leaderQuorumAt;
  }

  /** Whether a majority of the voters was in contact with the leader within the quorum timeout. */
  get hasQuorum(): boolean {
    return this.now < this.quorumContactAt + this.times.quorumTimeoutMs;
  }

  /** Leaves the election to a candidate for as long as a message may take. */
  recordPreVote(preVote: PreVote): void {
    this.lastPreVote = preVote;
    this.preVoteUntil = this.now + this.times.messageTimeoutMs;
  }

  /** Records how long ago the leader that this replica follows had contact with a majority. */
  recordLeaderQuorum(ageMs: number): void {
    this.leaderQuorumAt = this.now - ageMs;
  }

  /** Creates the common fields of a message to the replica with the id `to`. */
  createHeader(to: string, term: number) {
    const { replicaId, host, group } = this.store.identity;
    return { groupId: group?.groupId ?? '', to, from: replicaId, fromHost: host, term };
  }

  /** Follows a term that is at least as new as that of this replica. Within `serial`. */
  async followTerm(term: number, leader: Member | undefined): Promise<void> {
    if (term > this.term) {
      this.endLeadership();
      await this.store.saveVote({ term, votedFor: undefined });
      this.leader = undefined;
    }
    if (this.role === 'candidate') this.role = 'follower';
    if (leader) this.leader = leader;
  }

  /** Becomes a follower when an answer has a newer term. */
  async acceptTerm(term: number): Promise<void> {
    if (term <= this.term) return;
    const following = this.runSerial(async () => {
      if (term > this.term) await this.followTerm(term, undefined);
    });
    // The error needs no handling here: a failed write has already stopped this replica.
    await following.catch(() => undefined);
  }

  /**
   * Becomes leader of the current term and appends a `term_start` entry. Once that entry is
   * committed, so are the entries of older terms before it.
   */
  startLeadership(): void {
    const { log, term, now } = this;
    const startIndex = log.lastIndex + 1;
    const { replicaId: ownId } = this.ownMember;
    this.role = 'leader';
    this.leader = this.ownMember;
    this.leadership = new Leadership({ term, ownId, startIndex, now });
    this.options.log.info('replication: leading', { term, index: startIndex });
    this.addContent({ kind: 'term_start' });
  }

  /**
   * Becomes follower and fails waiting proposals; the next leader may still commit their commands.
   */
  endLeadership(): void {
    this.role = 'follower';
    if (!this.leadership) return;
    this.leadership.isActive = false;
    this.leadership = undefined;
    this.leader = undefined;
    this.electionTimerStartedAt = this.now;
    this.options.log.info('replication: no longer leading', { term: this.term });
    this.applier.failProposals({
      kind: 'no_quorum',
      message: `propose: host "${this.ownMember.host}" no longer leads term ${this.term}: the command may still be committed`,
    });
    this.changes.announceChange();
  }

  /** Appends an entry of this leader, which other tasks write and send; returns its index. */
  addContent(content: EntryContent): number {
    const entry = this.log.addContent(this.term, content, this.now);
    this.changes.announceChange();
    return entry.index;
  }

  /**
   * Commits the entries that a majority has synced, if the last of them is of this leader's term.
   * Entries of older terms alone are not committed even when a majority has synced them, because a
   * later leader may still replace them.
   */
  commitMajority(): void {
    const { leadership, log } = this;
    if (!leadership) return;
    const index = leadership.computeMajorityIndex(this.configuration, log.syncedIndex);
    if (index > this.commitIndex && log.readTerm(index) === leadership.term) {
      this.commitThrough(index);
      this.hasCaughtUp = true;
    }
  }

  commitThrough(index: number): void {
    if (index <= this.commitIndex) return;
    this.commitIndex = index;
    this.applier.applyThrough(index, this.log);
    this.changes.announceChange();
  }

  /** Runs work on the store; stops the replica when it throws. */
  async runSerial<Value>(work: () => Promise<Value>): Promise<Value> {
    return this.serial.runNext(async () => {
      if (this.isStopped) throw this.createStopError();
      try {
        return await work();
      } catch (error) {
        this.fail(error as Error);
        throw error;
      }
    });
  }

  /**
   * Stops this replica after an unexpected error. After a failed write or sync the content of the
   * disk is unknown, so this replica must not acknowledge anything any more.
   */
  fail(error: Error): void {
    if (this.isStopped) return;
    this.failure =
      error instanceof FailureError
        ? error.failure
        : {
            kind: 'internal',
            message: `replica of host "${this.ownMember.host}": ${error.message}`,
          };
    this.options.log.error('replication: stopped by an error', { error: error.message });
    this.stop();
  }

  stop(): void {
    this.isStopped = true;
    this.endLeadership();
    this.changes.announceChange();
  }

  createStopError(): FailureError {
    return new FailureError({
      kind: 'host_stopping',
      message: `replica of host "${this.ownMember.host}": the replica has stopped`,
    });
  }
}
