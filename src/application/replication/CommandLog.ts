import type Result from '../../domain/errors/Result.ts';

/** A replicated log as the services above it see it. */
export default interface CommandLog<Command, Reply> {
  /** Random id of the control group; undefined until the group has formed. */
  readonly groupId: string | undefined;
  /** Host name of the leader this replica follows; its own name when it leads. */
  readonly leader: string | undefined;
  /** Index of the last command that the state of this replica includes. */
  readonly appliedIndex: number;
  /**
   * Commits a command and returns what applying it gave. `not_leader`, `deadline_passed` and
   * `message_invalid` (too large) mean that it was not taken; `no_quorum` means that it may still
   * be committed later.
   */
  proposeCommand(command: Command, deadline: number): Promise<Result<Reply>>;
  /** Resolves once the state of this leader includes everything committed before the call. */
  confirmRead(deadline: number): Promise<Result<void>>;
  /** Resolves when `appliedIndex` is above the given one, or at the deadline. */
  waitApplied(afterIndex: number, deadline: number): Promise<void>;
}
