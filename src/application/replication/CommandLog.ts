import type Result from '../../domain/errors/Result.ts';

/**
 * The interface of the replicated log for the services that propose commands and read the state.
 * Deadlines are in milliseconds since the epoch.
 */
export default interface CommandLog<Command, Reply> {
  /** Random id of the control group; undefined until the group has formed. */
  readonly groupId: string | undefined;
  /** Host name of the leader that this replica follows; the name of this host when it leads. */
  readonly leader: string | undefined;
  /** Index of the last command that this replica has applied. */
  readonly appliedIndex: number;
  /**
   * Commits a command and returns the reply of the state machine. `not_leader`, `deadline_passed`
   * and `message_invalid` (too large) mean that the command was not added to the log; `no_quorum`
   * means that it may still be committed later.
   */
  proposeCommand(command: Command, deadline: number): Promise<Result<Reply>>;
  /**
   * Resolves once this leader has applied every command that was committed before the call. Fails
   * with `not_leader`, or with `no_quorum` when no majority confirmed the leader by the deadline.
   */
  confirmRead(deadline: number): Promise<Result<void>>;
  /** Resolves when `appliedIndex` is above the given one, or at the deadline. */
  waitApplied(afterIndex: number, deadline: number): Promise<void>;
}
