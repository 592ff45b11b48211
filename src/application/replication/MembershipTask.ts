import type Leadership from '../../domain/replication/Leadership.ts';
import type { Member } from '../../domain/replication/ReplicaConfiguration.ts';
import type ReplicaConfiguration from '../../domain/replication/ReplicaConfiguration.ts';
import chooseMembershipChange from '../../domain/replication/chooseMembershipChange.ts';
import type ReplicaContext from './ReplicaContext.ts';

// A learner that has not answered for more than this many heartbeats is not made a voter, because
// it may have failed.
const maxMissedHeartbeats = 5;
const defaultMinVoters = 3;

/**
 * While this replica leads, makes caught-up learners voters and removes unresponsive voters. Each
 * change is committed before the next one is proposed.
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
      // A voter becomes replaceable when time passes, without an announced change, so the condition
      // is also checked after a timeout. The timeout is infinite where voters are never replaced:
      // then only announced changes matter.
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
   * Whether the previous change is committed and the leader has committed an entry of its term.
   * Otherwise two configurations could be in use whose majorities don't overlap.
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
