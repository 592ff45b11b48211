import ClaimRegistry from '../claims/ClaimRegistry.ts';
import type { ClaimRegistryOptions } from '../claims/ClaimRegistry.ts';
import UpstreamRegistry from '../membership/UpstreamRegistry.ts';
import type NumberedPreset from '../presets/NumberedPreset.ts';
import PresetRegistry from '../presets/PresetRegistry.ts';
import type StateMachine from '../replication/StateMachine.ts';
import type {
  CommitPosition,
  SnapshotParts,
  SnapshotRestore,
} from '../replication/StateMachine.ts';
import type ControlCommand from './ControlCommand.ts';
import type { ControlReply, PutPreset, UsePreset } from './ControlCommand.ts';
import type ControlSnapshot from './ControlSnapshot.ts';
import type { UpstreamRegistrySnapshot } from './ControlSnapshot.ts';

/** Options of a control state machine. */
export interface ControlStateMachineOptions {
  /** Checks the structure of a part of a snapshot; throws when it is damaged. */
  readonly parseSnapshot: (part: unknown) => ControlSnapshot;
  readonly claimLimits?: ClaimRegistryOptions;
}

/** The state that the control group replicates: presets, claims and registered upstreams. */
export default class ControlStateMachine implements StateMachine<ControlCommand, ControlReply> {
  readonly presets = new PresetRegistry();

  readonly claims: ClaimRegistry;

  readonly registry = new UpstreamRegistry();

  /** The active numbered preset. */
  numberedPreset: NumberedPreset | undefined;

  private readonly options: ControlStateMachineOptions;

  constructor(options: ControlStateMachineOptions) {
    this.options = options;
    this.claims = new ClaimRegistry(options.claimLimits);
  }

  applyCommand(command: ControlCommand, position: CommitPosition): ControlReply {
    switch (command.kind) {
      case 'put_preset':
      case 'use_preset':
        return this.applyPresetChange(command, position);
      case 'put_numbered_preset':
        this.applyNumberedPreset(command);
        return { kind: 'accepted' };
      case 'register_upstream': {
        const { registration, keeper } = command;
        const effect = this.registry.applyRegistration(registration, keeper, position.index);
        return { kind: 'accepted', registryEffect: effect };
      }
      case 'remove_upstream':
        return {
          kind: 'accepted',
          registryEffect: this.registry.applyRemoval(command, position.index),
        };
      case 'change_claims':
        return { kind: 'claims', decisions: this.claims.applyChanges(command.changes, position) };
      default:
        return command;
    }
  }

  // No request ran under this control group before its first selection of a preset. A key with an
  // earlier timestamp may have been used under an earlier group whose claims were lost with its
  // disks, so it is refused.
  private applyPresetChange(change: PutPreset | UsePreset, position: CommitPosition): ControlReply {
    const isFirst = this.presets.getSelection() === undefined;
    const result = this.presets.applyChange(change, position);
    if (isFirst && this.presets.getSelection()) this.claims.refuseThrough(position.proposedAt);
    return { kind: 'preset_change', result };
  }

  private applyNumberedPreset({ number, document }: NumberedPreset): void {
    if (number <= (this.numberedPreset?.number ?? -Infinity)) return;
    this.numberedPreset = { number, document };
  }

  takeSnapshot(): SnapshotParts<ControlSnapshot> {
    const { numberedPreset } = this;
    const registry = {
      records: this.registry.listRecords(),
      oldestKnownChange: this.registry.oldestKnownChange,
    };
    const claims = this.claims.takeSnapshot();
    const presets = this.presets.takeSnapshot();
    return {
      // At least one part, for the horizon and the selection.
      count: Math.max(1, claims.count, presets.count),
      readPart: (position) => ({
        claims: claims.readPart(position),
        presets: presets.readPart(position),
        ...(position === 0 ? { numberedPreset, registry } : {}),
      }),
    };
  }

  /** A snapshot file of an earlier release contains the whole state in a single part. */
  startRestore(): SnapshotRestore {
    const { parseSnapshot, claimLimits } = this.options;
    const claims = new ClaimRegistry(claimLimits);
    const presets = new PresetRegistry();
    let numberedPreset: NumberedPreset | undefined;
    let registry: UpstreamRegistrySnapshot | undefined;
    return {
      addPart: (part) => {
        const parsed = parseSnapshot(part);
        claims.addPart(parsed.claims);
        presets.addPart(parsed.presets);
        numberedPreset = parsed.numberedPreset ?? numberedPreset;
        registry = parsed.registry ?? registry;
      },
      commitRestore: () => {
        this.claims.restoreFrom(claims);
        this.presets.restoreFrom(presets);
        this.numberedPreset = numberedPreset;
        this.registry.restoreRecords(registry?.records ?? [], registry?.oldestKnownChange ?? 0);
      },
    };
  }
}
