import type Failure from '../../domain/errors/Failure.ts';
import type Result from '../../domain/errors/Result.ts';
import type ReplicaConfiguration from '../../domain/replication/ReplicaConfiguration.ts';
import type ReplicationLink from '../../ports/ReplicationLink.ts';
import type {
  AppendRequest,
  GroupRequest,
  MessageHeader,
  SnapshotRequest,
  VoteRequest,
} from '../../ports/ReplicationLink.ts';
import type CommandLog from './CommandLog.ts';
import ElectionTask from './ElectionTask.ts';
import BootstrapTask from './BootstrapTask.ts';
import LeadershipTransfer from './LeadershipTransfer.ts';
import MembershipTask from './MembershipTask.ts';
import MessageHandler from './MessageHandler.ts';
import PeerReplicationTask from './PeerReplicationTask.ts';
import ReplicaContext from './ReplicaContext.ts';
import type { ReplicaOptions, ReplicaRole } from './ReplicaContext.ts';
import ReplicaStore from './ReplicaStore.ts';
import type ReplicationHandler from './ReplicationHandler.ts';
import SnapshotReceiver from './SnapshotReceiver.ts';
import SnapshotTask from './SnapshotTask.ts';
import LogWriterTask from './LogWriterTask.ts';

/**
 * Maximum size of a command, encoded as JSON; a preset of 28,000 teams has about 4 MB. Peer
 * messages are limited to 16 MiB. The limit for commands is lower, because a command grows when its
 * JSON is escaped inside other JSON.
 */
export const maxCommandBytes = 8_388_608;

/**
 * One replica of the control group's log. Based on the Raft protocol (Ongaro and Ousterhout, "In
 * Search of an Understandable Consensus Algorithm", 2014) with pre-vote and single-server
 * membership changes.
 */
export default class Replica<Command, Reply>
  implements CommandLog<Command, Reply>, ReplicationHandler
{
  private readonly context: ReplicaContext<Command, Reply>;

  private readonly handler: MessageHandler<Command, Reply>;

  private readonly elections: ElectionTask<Command, Reply>;

  private readonly bootstrap: BootstrapTask<Command, Reply>;

  private readonly receiver: SnapshotReceiver<Command, Reply>;

  private isStopping = false;

  private readonly tasks: Promise<void>[] = [];

  private finished: Promise<unknown> = Promise.resolve();

  private constructor(context: ReplicaContext<Command, Reply>) {
    this.context = context;
    this.elections = new ElectionTask(context);
    this.bootstrap = new BootstrapTask(context);
    this.receiver = new SnapshotReceiver(context);
    const { elections, bootstrap, receiver } = this;
    this.handler = new MessageHandler({ context, elections, bootstrap, receiver });
  }

  /**
   * Opens the data folder and starts the tasks. Rejects with a `FailureError` of kind
   * `log_damaged` or `data_folder_unusable`.
   */
  static async startReplica<Command, Reply>(
    options: ReplicaOptions<Command, Reply>,
  ): Promise<Replica<Command, Reply>> {
    const store = await ReplicaStore.openStore(options);
    const context = new ReplicaContext(options, store);
    context.applier.resetToSnapshot(store.log.snapshotMetadata);
    context.commitIndex = store.log.snapshotMetadata.index;
    const replica = new Replica(context);
    replica.startTasks();
    return replica;
  }

  get groupId(): string | undefined {
    return this.context.store.identity.group?.groupId;
  }

  get replicaId(): string {
    return this.context.ownMember.replicaId;
  }

  get leader(): string | undefined {
    return this.context.leader?.host;
  }

  get role(): ReplicaRole {
    return this.context.role;
  }

  get term(): number {
    return this.context.term;
  }

  /** Whether this replica has a vote according to the newest configuration in its log. */
  get isVoter(): boolean {
    return this.context.isVoter;
  }

  /** The newest configuration in the log of this replica. */
  get configuration(): ReplicaConfiguration {
    return this.context.configuration;
  }

  get appliedIndex(): number {
    return this.context.applier.commandIndex;
  }

  async proposeCommand(command: Command, deadline: number): Promise<Result<Reply>> {
    const { context } = this;
    if (!context.leadership || this.isStopping) return this.refuseNotLeader('propose');
    if (context.now >= deadline) {
      const message = `propose: the deadline ${deadline} has passed: the time is ${context.now}, in milliseconds since the epoch`;
      return { ok: false, failure: { kind: 'deadline_passed', message } };
    }
    const size = Buffer.byteLength(JSON.stringify(command));
    if (size > maxCommandBytes) {
      const message = `propose: the command has ${size} bytes: expected at most ${maxCommandBytes}`;
      return { ok: false, failure: { kind: 'message_invalid', message } };
    }
    const index = context.addContent({ kind: 'command', command });
    const answered = new AbortController();
    const reply = context.applier.waitReply(index).finally(() => answered.abort());
    await context.options.clock.sleepUntil(deadline, answered.signal);
    context.applier.failProposal(index, {
      kind: 'no_quorum',
      message: `propose: no majority stored entry ${index} by the deadline: it may still be committed; this host has synced entries through ${context.log.syncedIndex}, and committed through ${context.commitIndex}`,
    });
    return reply;
  }

  async confirmRead(deadline: number): Promise<Result<void>> {
    const { context } = this;
    const { leadership } = context;
    if (!leadership) return this.refuseNotLeader('confirm a read');
    const waitFor = (isMet: () => boolean): Promise<void> =>
      context.changes.waitUntil(() => !leadership.isActive || isMet(), deadline);
    // Until a leader has committed an entry of its term, its commit index may be lower than that of
    // the previous leader.
    await waitFor(() => context.commitIndex >= leadership.startIndex);
    if (leadership.isActive && context.commitIndex >= leadership.startIndex) {
      leadership.readRound += 1;
      const { readRound } = leadership;
      const isConfirmed = (): boolean => leadership.hasConfirmed(readRound, context.configuration);
      context.changes.announceChange();
      await waitFor(isConfirmed);
      if (leadership.isActive && isConfirmed()) return { ok: true, value: undefined };
    }
    const message = `confirm a read: no majority confirmed host "${context.ownMember.host}" as leader by the deadline`;
    return { ok: false, failure: { kind: 'no_quorum', message } };
  }

  async waitApplied(afterIndex: number, deadline: number): Promise<void> {
    // Waits until the deadline even after the replica has stopped. Otherwise a caller that waits in
    // a loop would spin.
    await this.context.changes.waitUntil(() => this.appliedIndex > afterIndex, deadline);
  }

  /** Starts to replicate to another control host, unless there already is a link to that host. */
  addLink(link: ReplicationLink): void {
    const { context } = this;
    if (context.isStopped || context.links.some(({ host }) => host === link.host)) return;
    context.links.push(link);
    this.watchTask(new PeerReplicationTask(context, link).runReplication());
    context.changes.announceChange();
  }

  /**
   * Whether this replica leads, or had contact with a leader within an election timeout; the leader
   * had contact with a majority within the quorum timeout; and this replica has applied what it had
   * missed before.
   */
  get isCurrent(): boolean {
    const { context } = this;
    return context.hasLeader && context.hasQuorum && context.hasCaughtUp && !context.isStopped;
  }

  /** Whether this replica can't form a group, only join one, and has applied no command yet. */
  get isEmptyJoiner(): boolean {
    return this.context.options.hosts.length === 0 && this.appliedIndex === 0;
  }

  /**
   * Waits for accepted proposals and transfers leadership, both until the deadline, then stops all
   * tasks.
   */
  async stop(deadline: number): Promise<void> {
    const { context } = this;
    this.isStopping = true;
    if (context.leadership) await new LeadershipTransfer(context).runTransfer(deadline);
    context.stop();
    await this.finished;
  }

  /** Resolves when all tasks have finished, with a failure if an error stopped the replica. */
  async waitStopped(): Promise<Result<void>> {
    await this.finished;
    const { failure } = this.context;
    return failure ? { ok: false, failure } : { ok: true, value: undefined };
  }

  handleStatus() {
    return this.handler.handleStatus();
  }

  handleGroup(request: GroupRequest) {
    return this.handler.handleGroup(request);
  }

  handleVote(request: VoteRequest) {
    return this.handler.handleVote(request);
  }

  handleAppend(request: AppendRequest) {
    return this.handler.handleAppend(request);
  }

  handleSnapshot(request: SnapshotRequest) {
    return this.handler.handleSnapshot(request);
  }

  handleTransfer(request: MessageHeader) {
    return this.handler.handleTransfer(request);
  }

  private startTasks(): void {
    const { context } = this;
    [
      this.bootstrap.runBootstrap(),
      this.elections.runElections(),
      new LogWriterTask(context).runWriter(),
      new SnapshotTask(context).runSnapshots(),
      this.receiver.runInstallations(),
      new MembershipTask(context).runMembership(),
    ].forEach((task) => this.watchTask(task));
    context.links.forEach((link) =>
      this.watchTask(new PeerReplicationTask(context, link).runReplication()),
    );
    this.finished = this.waitTasks().then(() => {
      context.options.log.info('replication: stopped', { failure: context.failure?.message });
    });
  }

  // An error in one task stops the replica and thereby all other tasks.
  private watchTask(task: Promise<void>): void {
    this.tasks.push(task.catch((error: Error) => this.context.fail(error)));
  }

  // Also waits for the tasks of links that are added in the meantime.
  private async waitTasks(): Promise<void> {
    const { length } = this.tasks;
    await Promise.all(this.tasks);
    if (this.tasks.length > length) await this.waitTasks();
  }

  private refuseNotLeader(call: string): { readonly ok: false; readonly failure: Failure } {
    const { ownMember, leader } = this.context;
    const message = `${call}: host "${ownMember.host}" does not lead; leader: ${leader?.host ?? 'unknown'}`;
    return { ok: false, failure: { kind: 'not_leader', message, leader: leader?.host } };
  }
}
