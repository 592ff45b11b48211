import type { Member } from './ReplicaConfiguration.ts';
import type ReplicaConfiguration from './ReplicaConfiguration.ts';

/** What a leader knows about the replicas of its group. */
export interface KnownReplicas {
  /** Replicas that hold everything committed and answered lately. */
  readonly caughtUp: readonly Member[];
  /** Voters without contact for a while; they give way to a replica that waits for a vote. */
  readonly lost?: readonly Member[];
  /** Voters without contact for so long that they are taken for gone. */
  readonly gone?: readonly Member[];
  /** Votes are taken from voters that are gone only while more than this many remain. */
  readonly minVoters?: number;
}

/**
 * The next configuration, one voter apart from the current one; undefined when nothing is to be
 * done. A caught-up learner gets a vote. The old replica of its host, or else a voter that is lost,
 * is removed first: with three voters every later commit is then on both remaining ones.
 */
export default function chooseMembershipChange(
  configuration: ReplicaConfiguration,
  { caughtUp, lost = [], gone = [], minVoters: minVoters = 0 }: KnownReplicas,
): ReplicaConfiguration | undefined {
  const { voters } = configuration;
  const removeVoter = (removed: Member): ReplicaConfiguration => ({
    voters: voters.filter(({ replicaId }) => replicaId !== removed.replicaId),
  });
  const learner = caughtUp.find(
    ({ replicaId }) => !voters.some((voter) => voter.replicaId === replicaId),
  );
  if (!learner) {
    return gone[0] && voters.length > minVoters ? removeVoter(gone[0]) : undefined;
  }
  const replaced = voters.find(({ host }) => host === learner.host) ?? lost[0];
  return replaced ? removeVoter(replaced) : { voters: [...voters, learner] };
}
