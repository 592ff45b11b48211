import ClaimBook from '../claims/ClaimBook.ts';
import type { ClaimBookOptions } from '../claims/ClaimBook.ts';
import PresetBook from '../presets/PresetBook.ts';
import type ReplicatedState from '../replication/ReplicatedState.ts';
import type {
  CommitPosition,
  SnapshotParts,
  StateRestore,
} from '../replication/ReplicatedState.ts';
import type ControlCommand from './ControlCommand.ts';
import type { ControlReply, PutPreset, UsePreset } from './ControlCommand.ts';
import type ControlSnapshot from './ControlSnapshot.ts';

/** What a control state needs. */
export interface ControlStateOptions {
  /** Checks the form of a part of a snapshot; throws when it is damaged. */
  readonly parseSnapshot: (part: unknown) => ControlSnapshot;
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

  takeSnapshot(): SnapshotParts<ControlSnapshot> {
    const claims = this.claims.takeSnapshot();
    const presets = this.presets.takeSnapshot();
    return {
      // One part at least, for the horizon and the selection.
      count: Math.max(1, claims.count, presets.count),
      readPart: (position) => ({
        claims: claims.readPart(position),
        presets: presets.readPart(position),
      }),
    };
  }

  /** A file of an earlier release has the whole state as its only part. */
  startRestore(): StateRestore {
    const { parseSnapshot, claimLimits } = this.options;
    const claims = new ClaimBook(claimLimits);
    const presets = new PresetBook();
    return {
      addPart: (part) => {
        const parsed = parseSnapshot(part);
        claims.addPart(parsed.claims);
        presets.addPart(parsed.presets);
      },
      useParts: () => {
        this.claims.restoreFrom(claims);
        this.presets.restoreFrom(presets);
      },
    };
  }
}
