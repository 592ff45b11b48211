import FailureError from '../../domain/errors/FailureError.ts';
import type { SnapshotParts, SnapshotRestore } from '../../domain/replication/StateMachine.ts';
import type SnapshotMetadata from '../../domain/replication/SnapshotMetadata.ts';
import type Clock from '../../ports/Clock.ts';
import type Disk from '../../ports/Disk.ts';
import encodeRecord from './encodeRecord.ts';
import { readRecord } from './decodeRecords.ts';

// A step may hold the event loop for 50 ms, a tenth of the shortest election timeout. Restoring
// 64 KiB takes 2 to 4 ms, which leaves room for a part of the largest records and a garbage
// collection.
const defaultSliceBytes = 65_536;

/** Where a snapshot is kept. */
export interface SnapshotFileOptions {
  readonly disk: Disk;
  readonly clock: Clock;
  /** Size after which a turn is given to other work; 64 KiB by default. */
  readonly sliceBytes?: number;
}

/** A state that was taken and the position in the log that it belongs to. */
export interface TakenSnapshot {
  readonly start: SnapshotMetadata;
  readonly parts: SnapshotParts;
}

/** The records of a file: one head, the parts in order and one end. */
type SnapshotRecord =
  | { readonly kind: 'head'; readonly start: SnapshotMetadata }
  | { readonly kind: 'part'; readonly position: number; readonly part: unknown }
  | { readonly kind: 'end'; readonly count: number };

/** The only record of a file of an earlier release. */
type WholeRecord = SnapshotMetadata & { readonly kind?: undefined; readonly state: unknown };

const encode = (record: SnapshotRecord): Uint8Array => encodeRecord(record);

/** What was read of a file. */
interface RestoringFile {
  start: SnapshotMetadata | undefined;
  parts: number;
  isEnded: boolean;
}

/**
 * A snapshot on the disk. It is written and read in slices with turns for other work between them,
 * because a large one takes longer than an election timeout.
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

  /** Writes and syncs a snapshot beside the one in use; returns the name of the file. */
  async writeStaged({ start, parts }: TakenSnapshot): Promise<string> {
    const staged = `${this.name}.new`;
    const writeSlice = async (slice: readonly Uint8Array[]): Promise<void> => {
      await this.disk.append(staged, Buffer.concat(slice));
      await this.clock.yieldToEventLoop();
    };
    await this.disk.write(staged, encode({ kind: 'head', start }));
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

  /** Puts a synced file in the place of the one in use. */
  async useStaged(staged: string): Promise<void> {
    await this.disk.setName(staged, this.name);
    await this.disk.syncFolder();
  }

  /**
   * Reads a file and adds its parts to the restore; undefined when there is no such file. Throws
   * `log_damaged` unless every record is whole and the end is there.
   */
  async readParts(
    restore: SnapshotRestore,
    name: string = this.name,
  ): Promise<SnapshotMetadata | undefined> {
    const bytes = await this.disk.read(name);
    if (!bytes) return undefined;
    const content = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const file: RestoringFile = { start: undefined, parts: 0, isEnded: false };
    let offset = 0;
    let turnAt = this.sliceBytes;
    while (offset < content.length) {
      const record = readRecord(content, offset);
      if (!record || file.isEnded) return this.failDamaged(name, offset);
      const value = record.value as SnapshotRecord | WholeRecord;
      if (!this.addRecord(file, value, restore)) return this.failDamaged(name, offset);
      offset += record.size;
      if (offset >= turnAt) {
        await this.clock.yieldToEventLoop();
        turnAt = offset + this.sliceBytes;
      }
    }
    if (!file.isEnded || !file.start) return this.failDamaged(name, offset);
    return file.start;
  }

  /** False when the record must not follow those before it. */
  private addRecord(
    file: RestoringFile,
    record: SnapshotRecord | WholeRecord,
    restore: SnapshotRestore,
  ): boolean {
    const isFirst = file.start === undefined;
    switch (record.kind) {
      case undefined: {
        if (!isFirst) return false;
        const { state, ...start } = record;
        restore.addPart(state);
        Object.assign(file, { start, isEnded: true });
        return true;
      }
      case 'head':
        Object.assign(file, { start: record.start });
        return isFirst;
      case 'part':
        if (isFirst || record.position !== file.parts) return false;
        restore.addPart(record.part);
        Object.assign(file, { parts: file.parts + 1 });
        return true;
      case 'end':
        Object.assign(file, { isEnded: true });
        return !isFirst && record.count === file.parts;
      default:
        return false;
    }
  }

  private failDamaged(name: string, offset: number): never {
    throw new FailureError({
      kind: 'log_damaged',
      message: `file "${name}": the record at byte ${offset}: expected a head, parts and an end with valid checksums`,
    });
  }
}
