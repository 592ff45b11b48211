/** Where and when a command was committed. */
export interface CommitPosition {
  /** Position in the log, from 1. */
  readonly index: number;
  readonly term: number;
  /** The leader's time when it took the proposal, in milliseconds since the epoch. */
  readonly proposedAt: number;
}

/**
 * A state at one position in the log, in parts that are read one at a time. Commands that are
 * applied after it was taken don't change it.
 */
export interface SnapshotParts<Part = unknown> {
  readonly count: number;
  /** A JSON value; positions begin at 0. */
  readPart(position: number): Part;
}

/** A state that is built from the parts of a snapshot beside the running state. */
export interface SnapshotRestore {
  /** Adds the next part; throws when it is damaged. The running state does not change. */
  addPart(part: unknown): void;
  /** Replaces the running state by the parts that were added. */
  commitRestore(): void;
}

/**
 * The state that a replica builds from committed commands; the same commands give the same state
 * everywhere.
 */
export default interface StateMachine<Command, Reply> {
  applyCommand(command: Command, position: CommitPosition): Reply;
  /** The state as of now; takes time for references to its records only, not for their content. */
  takeSnapshot(): SnapshotParts;
  /** Begins to restore a snapshot; its parts are added in their order. */
  startRestore(): SnapshotRestore;
}
