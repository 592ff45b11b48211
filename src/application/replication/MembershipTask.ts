import type Leadership from '../../domain/replication/Leadership.ts';
import type { Member } from '../../domain/replication/ReplicaConfiguration.ts';
import type ReplicaConfiguration from '../../domain/replication/ReplicaConfiguration.ts';
import chooseMembershipChange from '../../domain/replication/chooseMembershipChange.ts';
import type ReplicaContext from './ReplicaContext.ts';

// A learner that has not answered for so many heartbeats gets no vote: it may be gone again.
const freshHeartbeats = 5;
const defaultFewestVoters = 3;

/**
 * Gives caught-up learners a vote and takes it from voters that are lost while this replica leads,
 * one committed change at a time.
 */
export default class MembershipTask<Command, Reply> {
  private readonly context: ReplicaContext<Command, Reply>;

  constructor(context: ReplicaContext<Command, Reply>) {
    this.context = context;
  }

  /** Runs until the replica stops. */
  async runMembership(): Promise<void> {
    const { context } = this;
    while (!context.isStopped) {
      // Without a voter to give up, only an announced change can make a difference.
      const { voterReplacementTimeoutMs } = context.times;
      await context.changes.waitUntil(
        () => context.isStopped || this.findChange() !== undefined,
        context.now + voterReplacementTimeoutMs,
      );
      const configuration = context.isStopped ? undefined : this.findChange();
      if (configuration) this.addChange(configuration);
    }
  }

  private findChange(): ReplicaConfiguration | undefined {
    const { leadership } = this.context;
    if (!leadership || !this.mayChange(leadership)) return undefined;
    const { configuration, times, now, options } = this.context;
    const listSilent = (silentMs: number): readonly Member[] =>
      leadership.listSilent(configuration, now - silentMs);
    return chooseMembershipChange(configuration, {
      caughtUp: this.listCaughtUp(leadership),
      lost: listSilent(times.voterReplacementTimeoutMs),
      gone: listSilent(times.voterRemovalTimeoutMs),
      minVoters: options.minVoters ?? defaultFewestVoters,
    });
  }

  /**
   * Two changes at once could give majorities that don't overlap, and so could a change that
   * begins before an entry of the own term is committed.
   */
  private mayChange(leadership: Leadership): boolean {
    const { commitIndex, log } = this.context;
    return commitIndex >= leadership.startIndex && log.configuration.index <= commitIndex;
  }

  private listCaughtUp(leadership: Leadership): readonly Member[] {
    const { commitIndex, now, times } = this.context;
    return leadership.listCaughtUp(commitIndex, now - freshHeartbeats * times.heartbeatMs);
  }

  private addChange(configuration: ReplicaConfiguration): void {
    const voters = configuration.voters.map(({ host }) => host).join(' ');
    this.context.options.log.info('replication: changing the voters', { voters });
    this.context.addContent({ kind: 'configuration', configuration });
  }
}
