import type Failure from '../../domain/errors/Failure.ts';
import type Result from '../../domain/errors/Result.ts';
import type StateMachine from '../../domain/replication/StateMachine.ts';
import type SnapshotMetadata from '../../domain/replication/SnapshotMetadata.ts';
import type LogStore from './LogStore.ts';
import type { TakenSnapshot } from './SnapshotFile.ts';

type Resolve<Reply> = (result: Result<Reply>) => void;

/** Applies committed entries to the state machine and resolves the proposals that wait for them. */
export default class CommandApplier<Command, Reply> {
  private readonly state: StateMachine<Command, Reply>;

  private readonly proposals = new Map<number, Resolve<Reply>>();

  /** Index of the last entry that was applied. */
  appliedIndex = 0;

  /** Index of the last entry with a command that was applied. */
  commandIndex = 0;

  constructor(state: StateMachine<Command, Reply>) {
    this.state = state;
  }

  /** Whether no proposal waits for its command. */
  get isIdle(): boolean {
    return this.proposals.size === 0;
  }

  /** Resolves with the reply of the state machine to the command at an index. */
  waitReply(index: number): Promise<Result<Reply>> {
    return new Promise((resolve) => {
      this.proposals.set(index, resolve);
    });
  }

  /** Fails the proposal that waits at an index; its command may still be committed. */
  failProposal(index: number, failure: Failure): void {
    this.proposals.get(index)?.({ ok: false, failure });
    this.proposals.delete(index);
  }

  /** Fails all waiting proposals; their commands may still be committed. */
  failProposals(failure: Failure): void {
    [...this.proposals.keys()].forEach((index) => this.failProposal(index, failure));
  }

  /** Applies the entries up to the commit index; throws when one of them is not in the log. */
  applyThrough(commitIndex: number, log: LogStore): void {
    while (this.appliedIndex < commitIndex) this.applyEntry(this.appliedIndex + 1, log);
  }

  /**
   * Returns the current state, which can be written as a snapshot while later entries are applied.
   * Throws when the last applied entry is not in the log.
   */
  takeSnapshot(log: LogStore): TakenSnapshot {
    const last = log.readEntry(this.appliedIndex);
    if (!last) throw new Error(`snapshot: entry ${this.appliedIndex} is not in the log`);
    const metadata = {
      index: last.index,
      term: last.term,
      proposedAt: last.proposedAt,
      commandIndex: this.commandIndex,
      configuration: log.findConfiguration(last.index).configuration,
    };
    return { metadata, parts: this.state.takeSnapshot() };
  }

  /** Continues after a snapshot that was restored to the state machine. */
  resetToSnapshot(metadata: SnapshotMetadata): void {
    this.appliedIndex = metadata.index;
    this.commandIndex = metadata.commandIndex;
  }

  private applyEntry(index: number, log: LogStore): void {
    const entry = log.readEntry(index);
    if (!entry) throw new Error(`apply: entry ${index} is not in the log`);
    this.appliedIndex = index;
    if (entry.content.kind !== 'command') return;
    const { term, proposedAt } = entry;
    const position = { index, term, proposedAt };
    const reply = this.state.applyCommand(entry.content.command as Command, position);
    this.commandIndex = index;
    this.proposals.get(index)?.({ ok: true, value: reply });
    this.proposals.delete(index);
  }
}
