import type Failure from '../../domain/errors/Failure.ts';
import type Result from '../../domain/errors/Result.ts';
import type StateMachine from '../../domain/replication/StateMachine.ts';
import type SnapshotMetadata from '../../domain/replication/SnapshotMetadata.ts';
import type LogStore from './LogStore.ts';
import type { TakenSnapshot } from './SnapshotFile.ts';

type Resolve<Reply> = (result: Result<Reply>) => void;

/** Applies committed entries to the state and answers the proposals that wait for them. */
export default class CommandApplier<Command, Reply> {
  private readonly state: StateMachine<Command, Reply>;

  private readonly proposals = new Map<number, Resolve<Reply>>();

  /** Last entry whose effect the state includes. */
  appliedIndex = 0;

  /** Last command whose effect the state includes. */
  commandIndex = 0;

  constructor(state: StateMachine<Command, Reply>) {
    this.state = state;
  }

  get isIdle(): boolean {
    return this.proposals.size === 0;
  }

  /** Resolves with the reply of the command at an index. */
  waitReply(index: number): Promise<Result<Reply>> {
    return new Promise((resolve) => {
      this.proposals.set(index, resolve);
    });
  }

  /** Ends the wait for one command; it may still be committed. */
  dropProposal(index: number, failure: Failure): void {
    this.proposals.get(index)?.({ ok: false, failure });
    this.proposals.delete(index);
  }

  /** Ends the wait for all commands; they may still be committed. */
  failProposals(failure: Failure): void {
    [...this.proposals.keys()].forEach((index) => this.dropProposal(index, failure));
  }

  applyThrough(commitIndex: number, log: LogStore): void {
    while (this.appliedIndex < commitIndex) this.applyEntry(this.appliedIndex + 1, log);
  }

  /** The state as of now, to be written as a snapshot while later entries are applied. */
  takeSnapshot(log: LogStore): TakenSnapshot {
    const last = log.readEntry(this.appliedIndex);
    if (!last) throw new Error(`snapshot: entry ${this.appliedIndex} is not in the log`);
    const start = {
      index: last.index,
      term: last.term,
      proposedAt: last.proposedAt,
      commandIndex: this.commandIndex,
      configuration: log.findConfiguration(last.index).configuration,
    };
    return { start, parts: this.state.takeSnapshot() };
  }

  /** Continues after a snapshot that was restored to the state. */
  resetToSnapshot(start: SnapshotMetadata): void {
    this.appliedIndex = start.index;
    this.commandIndex = start.commandIndex;
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
