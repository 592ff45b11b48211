import type Leadership from '../../domain/replication/Leadership.ts';
import type { Member } from '../../domain/replication/ReplicaConfiguration.ts';
import type ReplicaConfiguration from '../../domain/replication/ReplicaConfiguration.ts';
import chooseMembershipChange from '../../domain/replication/chooseMembershipChange.ts';
import type ReplicaContext from './ReplicaContext.ts';

// A learner that has not answered for more than this many heartbeats gets no vote, because it may
// have failed since.
const maxMissedHeartbeats = 5;
const defaultMinVoters = 3;

/**
 * While this replica leads, makes caught-up learners voters and removes voters without contact, one
 * committed change at a time.
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
      // A voter becomes replaceable by time alone, so the condition is also checked after a
      // timeout. The timeout is infinite where voters are never replaced: then only announced
      // changes matter.
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
    const listUnresponsive = (timeoutMs: number): readonly Member[] =>
      leadership.listUnresponsive(configuration, now - timeoutMs);
    return chooseMembershipChange(configuration, {
      caughtUp: this.listCaughtUp(leadership),
      replaceable: listUnresponsive(times.voterReplacementTimeoutMs),
      removable: listUnresponsive(times.voterRemovalTimeoutMs),
      minVoters: options.minVoters ?? defaultMinVoters,
    });
  }

  /**
   * Two changes at once could give majorities that don't overlap, and so could a change that is
   * proposed before the leader has committed an entry of its term.
   */
  private mayChange(leadership: Leadership): boolean {
    const { commitIndex, log } = this.context;
    return commitIndex >= leadership.startIndex && log.configuration.index <= commitIndex;
  }

  private listCaughtUp(leadership: Leadership): readonly Member[] {
    const { commitIndex, now, times } = this.context;
    return leadership.listCaughtUp(commitIndex, now - maxMissedHeartbeats * times.heartbeatMs);
  }

  private addChange(configuration: ReplicaConfiguration): void {
    const voters = configuration.voters.map(({ host }) => host).join(' ');
    this.context.options.log.info('replication: changing the voters', { voters });
    this.context.addContent({ kind: 'configuration', configuration });
  }
}
