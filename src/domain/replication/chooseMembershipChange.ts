import type { Member } from './ReplicaConfiguration.ts';
import type ReplicaConfiguration from './ReplicaConfiguration.ts';

/**
 * The next configuration that gives a caught-up learner a vote, one voter apart from the current
 * one; undefined when nothing is to be done. The old replica of the learner's host is removed
 * first: with three voters every later commit is then on both remaining ones.
 */
export default function chooseMembershipChange(
  configuration: ReplicaConfiguration,
  caughtUp: readonly Member[],
): ReplicaConfiguration | undefined {
  const { voters } = configuration;
  const learner = caughtUp.find(
    ({ replicaId }) => !voters.some((voter) => voter.replicaId === replicaId),
  );
  if (!learner) return undefined;
  const others = voters.filter(({ host }) => host !== learner.host);
  return others.length < voters.length ? { voters: others } : { voters: [...voters, learner] };
}
