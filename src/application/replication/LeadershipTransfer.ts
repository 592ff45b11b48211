import type Leadership from '../../domain/replication/Leadership.ts';
import type { Member } from '../../domain/replication/ReplicaConfiguration.ts';
import type ReplicaContext from './ReplicaContext.ts';

/**
 * Transfers leadership to a voter that has the whole log, so that the group does not have to wait
 * for an election timeout.
 */
export default class LeadershipTransfer<Command, Reply> {
  private readonly context: ReplicaContext<Command, Reply>;

  constructor(context: ReplicaContext<Command, Reply>) {
    this.context = context;
  }

  /** Resolves when this replica no longer leads, or at the deadline. */
  async runTransfer(deadline: number): Promise<void> {
    const { context } = this;
    const { leadership } = context;
    if (!leadership) return;
    await context.changes.waitUntil(
      () =>
        !leadership.isActive ||
        (context.applier.isIdle && this.findTarget(leadership) !== undefined),
      deadline,
    );
    const target = this.findTarget(leadership);
    const link = context.links.find(({ host }) => host === target?.host);
    if (!leadership.isActive || !target || !link) return;
    const header = context.createHeader(target.replicaId, leadership.term);
    await link.transferLeadership(
      header,
      Math.min(deadline, context.now + context.times.messageTimeoutMs),
    );
    await context.changes.waitUntil(
      () => !leadership.isActive,
      Math.min(deadline, context.now + context.times.maxElectionTimeoutMs),
    );
  }

  private findTarget(leadership: Leadership): Member | undefined {
    const { log, configuration, ownMember, times } = this.context;
    const voterIds = configuration.voters.map(({ replicaId }) => replicaId);
    return leadership
      .listCaughtUp(log.lastIndex, this.context.now - times.maxElectionTimeoutMs)
      .find(({ replicaId }) => replicaId !== ownMember.replicaId && voterIds.includes(replicaId));
  }
}
