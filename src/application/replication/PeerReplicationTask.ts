import type Leadership from '../../domain/replication/Leadership.ts';
import type { PeerProgress } from '../../domain/replication/Leadership.ts';
import type ReplicationLink from '../../ports/ReplicationLink.ts';
import type ReplicaContext from './ReplicaContext.ts';
import SnapshotSender from './SnapshotSender.ts';

// No further entry is added to a message once its entries have this many bytes.
const batchBytes = 1_048_576;

/** What the leader does next for one peer. */
type NextStep = 'find_replica' | 'send_snapshot' | 'send_entries';

/** Replicates the log to one peer while this replica leads. One message is in flight at a time. */
export default class PeerReplicationTask<Command, Reply> {
  private readonly context: ReplicaContext<Command, Reply>;

  private readonly link: ReplicationLink;

  private readonly snapshotSender: SnapshotSender<Command, Reply>;

  /** False after a call without an answer; the next call then waits for the heartbeat interval. */
  private isReachable = true;

  /** Read round of the newest message that the peer answered. */
  private sentReadRound = 0;

  /** Commit index in the newest message that the peer answered. */
  private sentCommitIndex = 0;

  constructor(context: ReplicaContext<Command, Reply>, link: ReplicationLink) {
    this.context = context;
    this.link = link;
    this.snapshotSender = new SnapshotSender(context, link);
  }

  /** Runs until the replica stops. */
  async runReplication(): Promise<void> {
    const { context } = this;
    while (!context.isStopped) {
      const { leadership } = context;
      if (leadership) await this.sendLog(leadership);
      else {
        const isReady = (): boolean => context.isStopped || context.leadership !== undefined;
        await context.changes.waitUntil(isReady, Infinity);
      }
    }
  }

  private async sendLog(leadership: Leadership): Promise<void> {
    const { context, link } = this;
    const voter = context.configuration.voters.find(({ host }) => host === link.host);
    if (voter) leadership.setPeer(voter);
    while (leadership.isActive) {
      const sentAt = context.now;
      this.isReachable = await this.sendNext(leadership);
      await context.changes.waitUntil(
        () => !leadership.isActive || (this.isReachable && this.hasWork(leadership)),
        sentAt + context.times.heartbeatMs,
      );
    }
  }

  private hasWork(leadership: Leadership): boolean {
    const progress = leadership.findProgress(this.link.host);
    if (!progress) return false;
    return (
      progress.nextIndex <= this.context.log.lastIndex ||
      this.sentReadRound < leadership.readRound ||
      this.sentCommitIndex < Math.min(this.context.commitIndex, progress.matchIndex)
    );
  }

  /**
   * Sends the next message; returns whether the peer answered, so that another message can be sent
   * to it immediately.
   */
  private async sendNext(leadership: Leadership): Promise<boolean> {
    const progress = leadership.findProgress(this.link.host);
    const step = this.chooseStep(progress);
    if (!progress || step === 'find_replica') return this.resolveReplica(leadership);
    if (step === 'send_entries') return this.sendEntries(leadership, progress);
    const answer = await this.snapshotSender.sendChunk(leadership, progress);
    return answer.ok || this.handleFailure(leadership, answer.failure.kind);
  }

  private chooseStep(progress: PeerProgress | undefined): NextStep {
    if (!progress) return 'find_replica';
    const hasPrevious = this.context.log.readTerm(progress.nextIndex - 1) !== undefined;
    return hasPrevious ? 'send_entries' : 'send_snapshot';
  }

  private async sendEntries(leadership: Leadership, progress: PeerProgress): Promise<boolean> {
    const { context, link } = this;
    const previousIndex = progress.nextIndex - 1;
    const { readRound } = leadership;
    const { commitIndex, now: sentAt } = context;
    const answer = await link.sendEntries(
      {
        ...context.createHeader(progress.replicaId, leadership.term),
        previousIndex,
        previousTerm: context.log.readTerm(previousIndex) ?? 0,
        entries: context.log.listEntries(progress.nextIndex, batchBytes),
        commitIndex,
        quorumAgeMs: Math.round(Math.max(0, sentAt - context.quorumContactAt)),
      },
      sentAt + context.times.messageTimeoutMs,
    );
    if (!answer.ok) return this.handleFailure(leadership, answer.failure.kind);
    await context.acceptTerm(answer.value.term);
    if (!leadership.isActive) return true;
    // Heartbeats that change nothing don't wake other tasks.
    const hasProgressed =
      progress.confirmedReadRound < readRound ||
      progress.contactAt < sentAt - 2 * context.times.heartbeatMs ||
      !answer.value.isAccepted ||
      progress.matchIndex < answer.value.index;
    Object.assign(progress, { contactAt: sentAt, confirmedReadRound: readRound });
    this.sentReadRound = readRound;
    this.sentCommitIndex = commitIndex;
    if (answer.value.isAccepted) {
      progress.matchIndex = Math.max(progress.matchIndex, answer.value.index);
      progress.nextIndex = progress.matchIndex + 1;
      context.commitMajority();
    } else {
      const { index } = answer.value;
      if (index < progress.matchIndex) return this.reportLostEntries(progress, index);
      progress.nextIndex = Math.max(progress.matchIndex, Math.min(index, previousIndex - 1)) + 1;
    }
    if (hasProgressed) context.changes.announceChange();
    return true;
  }

  /**
   * The peer runs with an old copy of its data folder. Replication can't repair such a replica: its
   * folder has to be wiped.
   */
  private reportLostEntries(progress: PeerProgress, index: number): false {
    this.context.options.log.error('replication: the peer lost entries that it had synced', {
      host: this.link.host,
      expected: progress.matchIndex,
      found: index,
    });
    return false;
  }

  private async handleFailure(leadership: Leadership, kind: string): Promise<boolean> {
    if (kind === 'wrong_replica') await this.resolveReplica(leadership);
    return false;
  }

  /**
   * Requests the replica id of the peer and starts to replicate to that replica. A replica without
   * a group is sent the group first. Returns whether entries can be sent.
   */
  private async resolveReplica(leadership: Leadership): Promise<boolean> {
    const { context, link } = this;
    const status = await link.requestStatus(context.now + context.times.messageTimeoutMs);
    if (!status.ok) return false;
    const { host, replicaId, group } = status.value;
    const ownGroup = context.store.identity.group;
    if (!ownGroup || host !== link.host || (group && group.groupId !== ownGroup.groupId)) {
      context.options.log.warn('replication: the peer reported another host or group', {
        expected: link.host,
        found: host,
        group: group?.groupId,
      });
      return false;
    }
    const deadline = context.now + context.times.messageTimeoutMs;
    if (!group && !(await link.sendGroup({ to: replicaId, group: ownGroup }, deadline)).ok)
      return false;
    if (!leadership.isActive) return false;
    if (leadership.findProgress(host)?.replicaId === replicaId) return true;
    context.options.log.info('replication: replicating to a new replica', { host, replicaId });
    leadership.setPeer({ host, replicaId });
    context.changes.announceChange();
    return true;
  }
}
