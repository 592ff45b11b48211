import type ReplicaConfiguration from './ReplicaConfiguration.ts';

/** The position in the log that a snapshot of the state was taken at. */
export default interface SnapshotMetadata {
  readonly index: number;
  readonly term: number;
  /** Time of the last entry, in milliseconds since the epoch. */
  readonly proposedAt: number;
  /** Index of the last command that the state includes. */
  readonly commandIndex: number;
  readonly configuration: ReplicaConfiguration;
}
