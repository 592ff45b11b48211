import FailureError from '../../domain/errors/FailureError.ts';
import type { SnapshotParts, SnapshotRestore } from '../../domain/replication/StateMachine.ts';
import type SnapshotMetadata from '../../domain/replication/SnapshotMetadata.ts';
import type Clock from '../../ports/Clock.ts';
import type Disk from '../../ports/Disk.ts';
import encodeRecord from './encodeRecord.ts';
import { readRecord } from './decodeRecords.ts';

// A slice may block the event loop for 50 ms, a tenth of the minimum election timeout. Restoring
// 64 KiB takes 2 to 4 ms, which leaves time for a part with the largest records and for a garbage
// collection.
const defaultSliceBytes = 65_536;

/** Options of a snapshot file. */
export interface SnapshotFileOptions {
  readonly disk: Disk;
  readonly clock: Clock;
  /** Bytes after which reading or writing yields to the event loop; 64 KiB by default. */
  readonly sliceBytes?: number;
}

/** The state at one position in the log, to be written as a snapshot. */
export interface TakenSnapshot {
  readonly metadata: SnapshotMetadata;
  readonly parts: SnapshotParts;
}

/** The records of a file: one head, the parts in order and one end. */
type SnapshotRecord =
  | { readonly kind: 'head'; readonly start: SnapshotMetadata }
  | { readonly kind: 'part'; readonly position: number; readonly part: unknown }
  | { readonly kind: 'end'; readonly count: number };

/** The whole snapshot in one record, as earlier releases wrote it. */
type LegacyRecord = SnapshotMetadata & { readonly kind?: undefined; readonly state: unknown };

const encode = (record: SnapshotRecord): Uint8Array => encodeRecord(record);

/** What has been read of a snapshot file so far. */
interface RestoreProgress {
  metadata: SnapshotMetadata | undefined;
  parts: number;
  isComplete: boolean;
}

/**
 * A snapshot on the disk. Writing and reading yield to the event loop after each slice, because a
 * large snapshot takes longer than an election timeout.
 */
export default class SnapshotFile {
  readonly name = 'snapshot';

  private readonly disk: Disk;

  private readonly clock: Clock;

  private readonly sliceBytes: number;

  constructor({ disk, clock, sliceBytes = defaultSliceBytes }: SnapshotFileOptions) {
    this.disk = disk;
    this.clock = clock;
    this.sliceBytes = sliceBytes;
  }

  /** Writes and syncs a snapshot to a staged file; returns the name of that file. */
  async writeStaged({ metadata, parts }: TakenSnapshot): Promise<string> {
    const staged = `${this.name}.new`;
    const writeSlice = async (slice: readonly Uint8Array[]): Promise<void> => {
      await this.disk.append(staged, Buffer.concat(slice));
      await this.clock.yieldToEventLoop();
    };
    await this.disk.write(staged, encode({ kind: 'head', start: metadata }));
    let slice: Uint8Array[] = [];
    let bytes = 0;
    for (let position = 0; position < parts.count; position += 1) {
      const record = encode({ kind: 'part', position, part: parts.readPart(position) });
      slice.push(record);
      bytes += record.byteLength;
      if (bytes >= this.sliceBytes) {
        await writeSlice(slice);
        slice = [];
        bytes = 0;
      }
    }
    await writeSlice([...slice, encode({ kind: 'end', count: parts.count })]);
    await this.disk.sync(staged);
    return staged;
  }

  /** Replaces the snapshot file with a staged file that is synced. */
  async useStaged(staged: string): Promise<void> {
    await this.disk.rename(staged, this.name);
    await this.disk.syncFolder();
  }

  /**
   * Reads a file and adds its parts to the restore; returns undefined when the file does not exist.
   * Throws `log_damaged` unless every record is valid and the last one is an end record.
   */
  async readParts(
    restore: SnapshotRestore,
    name: string = this.name,
  ): Promise<SnapshotMetadata | undefined> {
    const bytes = await this.disk.read(name);
    if (!bytes) return undefined;
    const content = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const progress: RestoreProgress = { metadata: undefined, parts: 0, isComplete: false };
    let offset = 0;
    let yieldAt = this.sliceBytes;
    while (offset < content.length) {
      const record = readRecord(content, offset);
      if (!record || progress.isComplete) return this.failDamaged(name, offset);
      const value = record.value as SnapshotRecord | LegacyRecord;
      if (!this.addRecord(progress, value, restore)) return this.failDamaged(name, offset);
      offset += record.size;
      if (offset >= yieldAt) {
        await this.clock.yieldToEventLoop();
        yieldAt = offset + this.sliceBytes;
      }
    }
    if (!progress.isComplete || !progress.metadata) return this.failDamaged(name, offset);
    return progress.metadata;
  }

  /** Adds a record to the restore; returns false when the record is invalid at this position. */
  private addRecord(
    progress: RestoreProgress,
    record: SnapshotRecord | LegacyRecord,
    restore: SnapshotRestore,
  ): boolean {
    const isFirst = progress.metadata === undefined;
    switch (record.kind) {
      case undefined: {
        if (!isFirst) return false;
        const { state, ...metadata } = record;
        restore.addPart(state);
        Object.assign(progress, { metadata, isComplete: true });
        return true;
      }
      case 'head':
        Object.assign(progress, { metadata: record.start });
        return isFirst;
      case 'part':
        if (isFirst || record.position !== progress.parts) return false;
        restore.addPart(record.part);
        Object.assign(progress, { parts: progress.parts + 1 });
        return true;
      case 'end':
        Object.assign(progress, { isComplete: true });
        return !isFirst && record.count === progress.parts;
      default:
        return false;
    }
  }

  private failDamaged(name: string, offset: number): never {
    throw new FailureError({
      kind: 'log_damaged',
      message: `file "${name}": invalid record at byte ${offset}: expected a head, parts and an end with valid checksums`,
    });
  }
}
