import type ReplicaConfiguration from './ReplicaConfiguration.ts';

/** The state after all entries up to an index. */
export default interface ReplicaSnapshot {
  readonly index: number;
  readonly term: number;
  /** Time of the last entry, in milliseconds since the epoch. */
  readonly proposedAt: number;
  /** Index of the last command that the state includes. */
  readonly commandIndex: number;
  readonly configuration: ReplicaConfiguration;
  readonly state: unknown;
}
