import type { ReplicaGroup } from '../../domain/replication/ReplicaConfiguration.ts';
import decideBootstrap from '../../domain/replication/decideBootstrap.ts';
import type ReplicaContext from './ReplicaContext.ts';

/** Finds the group that this host belongs to, or forms one when no configured host has a group. */
export default class BootstrapTask<Command, Reply> {
  private readonly context: ReplicaContext<Command, Reply>;

  constructor(context: ReplicaContext<Command, Reply>) {
    this.context = context;
  }

  /** Runs until this host has a group or the replica stops. */
  async runBootstrap(): Promise<void> {
    const { context } = this;
    while (!context.isStopped && !context.store.identity.group) {
      const nextAttemptAt = context.now + context.times.bootstrapIntervalMs;
      await this.runAttempt();
      await context.changes.waitUntil(
        () => context.isStopped || context.store.identity.group !== undefined,
        nextAttemptAt,
      );
    }
  }

  /** Stores a group unless this host already has one. */
  async joinGroup(group: ReplicaGroup): Promise<void> {
    const { context } = this;
    await context.runSerial(async () => {
      if (context.store.identity.group) return;
      await context.store.saveGroup(group);
      context.electionTimerStartedAt = context.now;
      context.options.log.info('replication: group stored', { group: group.groupId });
      context.changes.announceChange();
    });
  }

  private async runAttempt(): Promise<void> {
    const { ownMember, options, links, times } = this.context;
    const deadline = this.context.now + times.messageTimeoutMs;
    const answers = await Promise.all(
      links.map(async (link) => ({ link, status: await link.requestStatus(deadline) })),
    );
    const statuses = answers.flatMap(({ link, status }) =>
      status.ok && status.value.host === link.host ? [status.value] : [],
    );
    const decision = decideBootstrap({ ownMember, hosts: options.hosts, statuses });
    if (decision.kind === 'conflict') {
      options.log.error('replication: the configured hosts belong to different groups', {
        groups: decision.groupIds.join(' '),
      });
    }
    if (decision.kind === 'join') await this.joinGroup(decision.group);
    if (decision.kind === 'form') {
      await this.createGroup({ groupId: options.random.createId(), founders: decision.founders });
    }
  }

  /**
   * Stores the group on this host before sending it to the other founders, so that this host
   * continues with the same group after a crash in between. A founder that does not receive the
   * message finds the group in its next attempt.
   */
  private async createGroup(group: ReplicaGroup): Promise<void> {
    const { links, times } = this.context;
    await this.joinGroup(group);
    const deadline = this.context.now + times.messageTimeoutMs;
    await Promise.all(
      group.founders.map(({ host, replicaId }) =>
        links.find((link) => link.host === host)?.sendGroup({ to: replicaId, group }, deadline),
      ),
    );
  }
}
