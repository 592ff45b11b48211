import type Leadership from '../../domain/replication/Leadership.ts';
import type { Member } from '../../domain/replication/ReplicaConfiguration.ts';
import type ReplicaConfiguration from '../../domain/replication/ReplicaConfiguration.ts';
import chooseMembershipChange from '../../domain/replication/chooseMembershipChange.ts';
import type ReplicaContext from './ReplicaContext.ts';
import { heartbeatMs } from './replicaTimes.ts';

// A learner that has not answered for this long gets no vote, because it may be gone again.
const freshContactMs = 5 * heartbeatMs;

/** Gives caught-up learners a vote while this replica leads, one committed change at a time. */
export default class MembershipTask<Command, Reply> {
  private readonly context: ReplicaContext<Command, Reply>;

  constructor(context: ReplicaContext<Command, Reply>) {
    this.context = context;
  }

  /** Runs until the replica stops. */
  async runMembership(): Promise<void> {
    const { context } = this;
    while (!context.isStopped) {
      await context.changes.waitUntil(
        () => context.isStopped || this.findChange() !== undefined,
        Infinity,
      );
      const configuration = context.isStopped ? undefined : this.findChange();
      if (configuration) this.addChange(configuration);
    }
  }

  private findChange(): ReplicaConfiguration | undefined {
    const { leadership } = this.context;
    if (!leadership || !this.mayChange(leadership)) return undefined;
    return chooseMembershipChange(this.context.configuration, this.listLearners(leadership));
  }

  /**
   * Two changes at once could give majorities that don't overlap, and so could a change that
   * begins before an entry of the own term is committed.
   */
  private mayChange(leadership: Leadership): boolean {
    const { commitIndex, log } = this.context;
    return commitIndex >= leadership.startIndex && log.configuration.index <= commitIndex;
  }

  private listLearners(leadership: Leadership): readonly Member[] {
    const { commitIndex, now } = this.context;
    return leadership.listCaughtUp(commitIndex, now - freshContactMs);
  }

  private addChange(configuration: ReplicaConfiguration): void {
    const voters = configuration.voters.map(({ host }) => host).join(' ');
    this.context.options.log.info('replication: changing the voters', { voters });
    this.context.addContent({ kind: 'configuration', configuration });
  }
}
