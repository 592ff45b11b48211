import ClaimBook from '../claims/ClaimBook.ts';
import type { ClaimBookOptions } from '../claims/ClaimBook.ts';
import PresetBook from '../presets/PresetBook.ts';
import type ReplicatedState from '../replication/ReplicatedState.ts';
import type { CommitPosition } from '../replication/ReplicatedState.ts';
import type ControlCommand from './ControlCommand.ts';
import type { ControlReply, PutPreset, UsePreset } from './ControlCommand.ts';
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
        return this.applyPresetChange(command, position);
      case 'change_claims':
        return { kind: 'claims', decisions: this.claims.applyChanges(command.changes, position) };
      default:
        return command;
    }
  }

  // No request ran under this group before its first selection. A key from before it may have run
  // under an earlier group whose claims were lost with its disks.
  private applyPresetChange(change: PutPreset | UsePreset, position: CommitPosition): ControlReply {
    const isFirst = this.presets.getSelection() === undefined;
    const result = this.presets.applyChange(change, position);
    if (isFirst && this.presets.getSelection()) this.claims.refuseThrough(position.proposedAt);
    return { kind: 'preset_change', result };
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
