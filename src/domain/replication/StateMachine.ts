/** Where and when a command was committed. */
export interface CommitPosition {
  /** Position in the log; the first is 1. */
  readonly index: number;
  readonly term: number;
  /** The leader's time when it received the proposal, in milliseconds since the epoch. */
  readonly proposedAt: number;
}

/**
 * The state at one position in the log, in parts that are read one at a time. Commands that are
 * applied later don't change it.
 */
export interface SnapshotParts<Part = unknown> {
  readonly count: number;
  /** Returns one part as a JSON value; positions begin at 0. */
  readPart(position: number): Part;
}

/** Builds a state from the parts of a snapshot, separately from the running state. */
export interface SnapshotRestore {
  /** Adds the next part; throws when it is invalid. The running state does not change. */
  addPart(part: unknown): void;
  /** Replaces the running state with the parts that were added. */
  commitRestore(): void;
}

/**
 * The state that a replica builds from committed commands. It is deterministic: the same commands
 * produce the same state on every replica.
 */
export default interface StateMachine<Command, Reply> {
  applyCommand(command: Command, position: CommitPosition): Reply;
  /** Returns the current state; copies only references to its records, not their content. */
  takeSnapshot(): SnapshotParts;
  /** Begins to restore a snapshot; the caller adds its parts in order. */
  startRestore(): SnapshotRestore;
}
