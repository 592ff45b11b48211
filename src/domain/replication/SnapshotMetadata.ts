import type ReplicaConfiguration from './ReplicaConfiguration.ts';

/** The last log entry that a snapshot includes, and the configuration at that entry. */
export default interface SnapshotMetadata {
  readonly index: number;
  readonly term: number;
  /** When that entry was proposed, by the leader's clock, in milliseconds since the epoch. */
  readonly proposedAt: number;
  /** Index of the last command that the state includes. */
  readonly commandIndex: number;
  readonly configuration: ReplicaConfiguration;
}
