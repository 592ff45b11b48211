import type { Member } from './ReplicaConfiguration.ts';
import type ReplicaConfiguration from './ReplicaConfiguration.ts';

/** A leader's view of the voters and learners of its group. */
export interface KnownReplicas {
  /** Replicas that have synced every committed entry and answered recently. */
  readonly caughtUp: readonly Member[];
  /** Voters without contact for so long that a caught-up learner may replace them. */
  readonly replaceable?: readonly Member[];
  /** Voters without contact for so long that they are removed without a replacement. */
  readonly removable?: readonly Member[];
  /** Removable voters are removed only while the group has more voters than this; 0 by default. */
  readonly minVoters?: number;
}

/**
 * Returns the next configuration, which differs from the current one by one voter; undefined when
 * no change is needed. A caught-up learner becomes a voter. The old replica on the learner's host,
 * or else a replaceable voter, is removed first: of three voters two remain, and every later commit
 * is then on both of them.
 */
export default function chooseMembershipChange(
  configuration: ReplicaConfiguration,
  { caughtUp, replaceable = [], removable = [], minVoters = 0 }: KnownReplicas,
): ReplicaConfiguration | undefined {
  const { voters } = configuration;
  const removeVoter = (removed: Member): ReplicaConfiguration => ({
    voters: voters.filter(({ replicaId }) => replicaId !== removed.replicaId),
  });
  const learner = caughtUp.find(
    ({ replicaId }) => !voters.some((voter) => voter.replicaId === replicaId),
  );
  if (!learner) {
    return removable[0] && voters.length > minVoters ? removeVoter(removable[0]) : undefined;
  }
  const replaced = voters.find(({ host }) => host === learner.host) ?? replaceable[0];
  return replaced ? removeVoter(replaced) : { voters: [...voters, learner] };
}
