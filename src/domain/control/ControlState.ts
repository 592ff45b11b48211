import ClaimBook from '../claims/ClaimBook.ts';
import type { ClaimBookOptions } from '../claims/ClaimBook.ts';
import PresetBook from '../presets/PresetBook.ts';
import type ReplicatedState from '../replication/ReplicatedState.ts';
import type { CommitPosition } from '../replication/ReplicatedState.ts';
import type ControlCommand from './ControlCommand.ts';
import type { ControlReply } from './ControlCommand.ts';
import type ControlSnapshot from './ControlSnapshot.ts';

/** What a control state needs. */
export interface ControlStateOptions {
  /** Checks the form of a snapshot; throws when it is damaged. */
  readonly parseSnapshot: (snapshot: unknown) => ControlSnapshot;
  readonly claimLimits?: ClaimBookOptions;
}

/** The state that the control group replicates: the presets and the claims. */
export default class ControlState implements ReplicatedState<ControlCommand, ControlReply> {
  readonly presets = new PresetBook();

  readonly claims: ClaimBook;

  private readonly options: ControlStateOptions;

  constructor(options: ControlStateOptions) {
    this.options = options;
    this.claims = new ClaimBook(options.claimLimits);
  }

  applyCommand(command: ControlCommand, position: CommitPosition): ControlReply {
    switch (command.kind) {
      case 'put_preset':
      case 'use_preset':
        return { kind: 'preset_change', result: this.presets.applyChange(command, position) };
      case 'change_claims':
        return { kind: 'claims', decisions: this.claims.applyChanges(command.changes, position) };
      default:
        return command;
    }
  }

  takeSnapshot(): ControlSnapshot {
    return { claims: this.claims.takeSnapshot(), presets: this.presets.takeSnapshot() };
  }

  /** Replaces the whole state; throws and changes nothing when the snapshot is damaged. */
  restoreSnapshot(snapshot: unknown): void {
    const parsed = this.options.parseSnapshot(snapshot);
    this.claims.restoreSnapshot(parsed.claims);
    this.presets.restoreSnapshot(parsed.presets);
  }
}
