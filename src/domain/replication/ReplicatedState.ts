/** Where and when a command was committed. */
export interface CommitPosition {
  /** Position in the log, from 1. */
  readonly index: number;
  readonly term: number;
  /** The leader's time when it took the proposal, in milliseconds since the epoch. */
  readonly proposedAt: number;
}

/**
 * The state that a replica builds from committed commands; the same commands give the same state
 * everywhere.
 */
export default interface ReplicatedState<Command, Reply> {
  applyCommand(command: Command, position: CommitPosition): Reply;
  /** A JSON value that `restoreSnapshot` accepts. */
  takeSnapshot(): unknown;
  restoreSnapshot(snapshot: unknown): void;
}
