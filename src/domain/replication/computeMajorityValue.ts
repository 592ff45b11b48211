import type { Member } from './ReplicaConfiguration.ts';
import type ReplicaConfiguration from './ReplicaConfiguration.ts';

/**
 * Returns the highest value that a majority of the voters has reached; -Infinity without voters.
 */
export default function computeMajorityValue(
  configuration: ReplicaConfiguration,
  readValue: (voter: Member) => number,
): number {
  const values = configuration.voters.map(readValue).sort((left, right) => right - left);
  return values[Math.floor(values.length / 2)] ?? -Infinity;
}
