import type { AcceptedChange, PutPreset, UsePreset } from '../control/ControlCommand.ts';
import type { SnapshotParts } from '../replication/StateMachine.ts';
import type Failure from '../errors/Failure.ts';
import type { WinningChange } from '../errors/Failure.ts';
import type Result from '../errors/Result.ts';
import type { CommitPosition } from '../replication/StateMachine.ts';
import type EarlierFleetSize from './EarlierFleetSize.ts';
import type PresetRegistrySnapshot from './PresetRegistrySnapshot.ts';
import type { PresetRecord, PresetSelection, RememberedChange } from './PresetRegistrySnapshot.ts';
import type PresetState from './PresetState.ts';
import addEarlierFleetSize from './addEarlierFleetSize.ts';
import createChangeFingerprint from './createChangeFingerprint.ts';

const changesPerPart = 64;

/** Number of change ids whose first answer is kept. */
export const maxRememberedChanges = 10_000;

function describeChange(change: PutPreset | UsePreset): string {
  const verb = change.kind === 'put_preset' ? 'put' : 'use';
  return `${verb} preset "${change.name}" based on revision ${change.basedOn}`;
}

function refuseConflict(
  change: PutPreset | UsePreset,
  last: WinningChange | undefined,
): Result<AcceptedChange> {
  const subject = change.kind === 'put_preset' ? 'the preset' : 'the choice of the active preset';
  const detail = last
    ? `${subject} last changed at revision ${last.revision} by ${last.operator}, change ${last.changeId}; expected that revision`
    : `${subject} was never set; expected revision 0`;
  const winner = last
    ? { revision: last.revision, operator: last.operator, changeId: last.changeId }
    : { revision: 0, operator: '', changeId: '' };
  const message = `${describeChange(change)}: ${detail}`;
  return { ok: false, failure: { kind: 'revision_conflict', message, winner } };
}

/**
 * Stores the presets by name, the choice of the active preset, and the answers to the last changes.
 * A change is accepted only when it is based on the revision at which its subject last changed.
 */
export default class PresetRegistry {
  private presets = new Map<string, PresetRecord>();

  private selection: PresetSelection | undefined;

  private earlierSizes: readonly EarlierFleetSize[] = [];

  // In the order of the changes, so that the first key is the oldest.
  private changes = new Map<string, RememberedChange>();

  /** Accepts or refuses a change; the revision of an accepted change is its position in the log. */
  applyChange(change: PutPreset | UsePreset, position: CommitPosition): Result<AcceptedChange> {
    const fingerprint = createChangeFingerprint(change);
    const known = this.changes.get(change.changeId);
    if (known) {
      return known.fingerprint === fingerprint
        ? known.result
        : { ok: false, failure: this.describeReuse(change) };
    }
    const previousEntryHosts = this.getActive()?.preset.fleet.entryHosts;
    const result =
      change.kind === 'put_preset'
        ? this.putPreset(change, position.index)
        : this.usePreset(change, position.index);
    if (
      previousEntryHosts !== undefined &&
      previousEntryHosts !== this.getActive()?.preset.fleet.entryHosts
    ) {
      const earlierSize = { entryHosts: previousEntryHosts, replacedAt: position.proposedAt };
      this.earlierSizes = addEarlierFleetSize(this.earlierSizes, earlierSize);
    }
    // Refusals are kept too: a resent change must not be accepted after it was refused.
    this.recordChange({ changeId: change.changeId, fingerprint, result });
    return result;
  }

  /** Stored presets, sorted by name. */
  listPresets(): readonly PresetRecord[] {
    return [...this.presets.values()].sort((first, second) => (first.name < second.name ? -1 : 1));
  }

  findPreset(name: string): PresetRecord | undefined {
    return this.presets.get(name);
  }

  getSelection(): PresetSelection | undefined {
    return this.selection;
  }

  /**
   * The active preset. Its revision is that of its last change or of its selection, whichever is
   * later.
   */
  getActive(): Omit<PresetState, 'groupId'> | undefined {
    const record = this.selection && this.presets.get(this.selection.name);
    if (!this.selection || !record) return undefined;
    const { name, preset } = record;
    return { revision: Math.max(this.selection.revision, record.revision), name, preset };
  }

  /** Values of `fleet.entry_hosts` that were active before that of the active preset. */
  listEarlierFleetSizes(): readonly EarlierFleetSize[] {
    return this.earlierSizes;
  }

  /** Takes a snapshot of the registry; each part contains the selection and the earlier sizes. */
  takeSnapshot(): SnapshotParts<PresetRegistrySnapshot> {
    const { selection, earlierSizes } = this;
    const presets = this.listPresets();
    const changes = [...this.changes.values()];
    // A preset of 5,000 routes takes 20 ms to decode and check, so each part has one preset only.
    return {
      count: Math.max(presets.length, Math.ceil(changes.length / changesPerPart)),
      readPart: (position) => ({
        presets: presets.slice(position, position + 1),
        selection,
        earlierSizes,
        changes: changes.slice(position * changesPerPart, (position + 1) * changesPerPart),
      }),
    };
  }

  /** Adds a part of a snapshot; must not be called after a command was applied. */
  addPart(part: PresetRegistrySnapshot): void {
    part.presets.forEach((record) => this.presets.set(record.name, record));
    part.changes.forEach((change) => this.changes.set(change.changeId, change));
    this.selection = part.selection;
    this.earlierSizes = part.earlierSizes;
  }

  /** Takes over the records of another registry, which must not be used afterwards. */
  restoreFrom(other: PresetRegistry): void {
    this.presets = other.presets;
    this.changes = other.changes;
    this.selection = other.selection;
    this.earlierSizes = other.earlierSizes;
  }

  private putPreset(change: PutPreset, revision: number): Result<AcceptedChange> {
    const last = this.presets.get(change.name);
    if ((last?.revision ?? 0) !== change.basedOn) return refuseConflict(change, last);
    const { name, preset, operator, changeId } = change;
    this.presets.set(name, { name, preset, revision, operator, changeId });
    return { ok: true, value: { revision } };
  }

  private usePreset(change: UsePreset, revision: number): Result<AcceptedChange> {
    if (!this.presets.has(change.name)) {
      const names = this.listPresets().map(({ name }) => name);
      const message = `${describeChange(change)}: no such preset; expected one of ${names.join(', ')}`;
      return { ok: false, failure: { kind: 'preset_unknown', message } };
    }
    if ((this.selection?.revision ?? 0) !== change.basedOn) {
      return refuseConflict(change, this.selection);
    }
    const { name, operator, changeId } = change;
    this.selection = { name, revision, operator, changeId };
    return { ok: true, value: { revision } };
  }

  private describeReuse(change: PutPreset | UsePreset): Failure {
    const message = `${describeChange(change)}: change id "${change.changeId}" was used for another change; expected a fresh change id`;
    return { kind: 'change_id_reused', message };
  }

  private recordChange(change: RememberedChange): void {
    this.changes.set(change.changeId, change);
    const oldest = this.changes.keys().next().value;
    if (this.changes.size > maxRememberedChanges && oldest !== undefined) {
      this.changes.delete(oldest);
    }
  }
}
