import FailureError from '../../domain/errors/FailureError.ts';
import type LogEntry from '../../domain/replication/LogEntry.ts';
import type Disk from '../../ports/Disk.ts';
import type Log from '../../ports/Log.ts';
import decodeRecords from './decodeRecords.ts';
import type { DecodedRecords } from './decodeRecords.ts';
import encodeRecord, { recordHeader } from './encodeRecord.ts';

const namePrefix = 'log-';

interface Segment {
  readonly name: string;
  /** Index of the entry in the first record. */
  readonly firstIndex: number;
  /** Size of each record in bytes, in order. */
  readonly recordSizes: number[];
  /** False until the file and its folder entry are synced. */
  isCreated: boolean;
}

/** An entry that was read and the size of its record in bytes. */
export interface StoredEntry {
  readonly entry: LogEntry;
  readonly size: number;
}

/** What a record of the log contains. */
interface EntryRecord extends LogEntry {
  /**
   * All entries up to this index were synced before the record was written. Records of earlier
   * releases lack it.
   */
  readonly syncedIndex?: number;
}

function readEntry(value: unknown): LogEntry {
  const { syncedIndex, ...entry } = value as EntryRecord;
  return entry;
}

// After a loss of power, any part of what was not synced may be missing. A record that is missing
// although it was synced, as a later record tells, is damaged.
function isSynced(index: number, { laterRecords }: DecodedRecords): boolean {
  return laterRecords.some(({ value }) => {
    const { syncedIndex = Infinity } = value as EntryRecord;
    return syncedIndex >= index;
  });
}

/** Encodes the record of an entry; `syncedIndex` is the last entry that is synced. */
export function encodeEntry(entry: LogEntry, syncedIndex: number): Buffer {
  return encodeRecord({ ...entry, syncedIndex } satisfies EntryRecord);
}

/** Decodes the entry of a record that `encodeEntry` returned. */
export function decodeEntry(record: Buffer): LogEntry {
  return readEntry(JSON.parse(record.subarray(recordHeader.bytes).toString()));
}

function createSegment(firstIndex: number, isCreated: boolean): Segment {
  const name = `${namePrefix}${String(firstIndex).padStart(16, '0')}`;
  return { name, firstIndex, recordSizes: [], isCreated };
}

function computeNextIndex(segment: Segment): number {
  return segment.firstIndex + segment.recordSizes.length;
}

/**
 * The segment files of the log. Each file contains consecutive entries and is named after the index
 * of its first entry.
 */
export default class LogSegments {
  private readonly disk: Disk;

  private readonly segments: Segment[] = [];

  constructor(disk: Disk) {
    this.disk = disk;
  }

  /**
   * Reads all segments, truncates records that were never synced from the first one that is torn or
   * missing, and syncs the newest segment. Throws `log_damaged` when a record is damaged that was
   * synced, or the entries are not consecutive.
   */
  async loadEntries(log: Log): Promise<readonly StoredEntry[]> {
    const names = (await this.disk.list()).filter((name) => name.startsWith(namePrefix));
    const loaded: StoredEntry[] = [];
    for (const name of names) {
      const segment = createSegment(Number(name.slice(namePrefix.length)), true);
      const content = (await this.disk.read(name)) ?? new Uint8Array();
      const decoded = decodeRecords(content);
      const { records, tail, validBytes, laterRecords } = decoded;
      const isLast = name === names.at(-1);
      const nextIndex = segment.firstIndex + records.length;
      if (tail !== 'complete' && (!isLast || isSynced(nextIndex, decoded))) {
        this.failDamaged(name, `the record at byte ${validBytes} is damaged and others follow it`);
      }
      if (tail !== 'complete') {
        log.warn('replication: truncated records that were not synced', {
          file: name,
          bytes: content.byteLength - validBytes,
          laterRecords: laterRecords.length,
        });
        await this.disk.truncate(name, validBytes);
      }
      // The process before this one may have ended between a write and its sync.
      if (isLast) await this.disk.sync(name);
      const entries = records.map(({ value, size }) => ({ entry: readEntry(value), size }));
      this.checkOrder(segment, entries, loaded.at(-1)?.entry);
      entries.forEach(({ size }) => segment.recordSizes.push(size));
      this.segments.push(segment);
      loaded.push(...entries);
    }
    return loaded;
  }

  /** Throws `log_damaged` because entries between the snapshot and the first entry are missing. */
  static failMissingEntries(firstIndex: number, expectedFirst: number): never {
    throw new FailureError({
      kind: 'log_damaged',
      message: `log: the first entry has index ${firstIndex}: expected at most ${expectedFirst}`,
    });
  }

  /** Appends the records of consecutive entries with one sync. */
  async appendRecords(firstIndex: number, records: readonly Uint8Array[]): Promise<void> {
    const segment = this.segments.at(-1) ?? this.addSegment(firstIndex);
    await this.disk.append(segment.name, Buffer.concat(records));
    await this.disk.sync(segment.name);
    if (!segment.isCreated) await this.disk.syncFolder();
    segment.isCreated = true;
    records.forEach(({ byteLength }) => segment.recordSizes.push(byteLength));
  }

  /** Starts a new segment for the next record, so that older segments can be removed as a whole. */
  addSegment(firstIndex: number): Segment {
    const last = this.segments.at(-1);
    if (last && last.firstIndex === firstIndex) return last;
    const segment = createSegment(firstIndex, false);
    this.segments.push(segment);
    return segment;
  }

  /** Removes the records of the entry at an index and of all later entries, and syncs the files. */
  async truncateFrom(index: number): Promise<void> {
    let last = this.segments.at(-1);
    while (last && last.firstIndex >= index && this.segments.length > 1) {
      // Files are removed newest first and synced one by one, so that a crash leaves no gap.
      await this.removeFile(last);
      this.segments.pop();
      last = this.segments.at(-1);
    }
    if (!last || computeNextIndex(last) <= index) return;
    const kept = last.recordSizes.slice(0, index - last.firstIndex);
    const keptBytes = kept.reduce((sum, size) => sum + size, 0);
    await this.disk.truncate(last.name, keptBytes);
    // The file is synced before new records are appended, or a crash could mix old and new records.
    await this.disk.sync(last.name);
    last.recordSizes.length = kept.length;
  }

  /**
   * Removes the segments that contain only entries up to an index, but never the newest segment.
   * Returns the first index of the oldest remaining segment.
   */
  async dropThrough(index: number): Promise<number | undefined> {
    let [oldest, next] = this.segments;
    while (oldest && next && next.firstIndex <= index + 1) {
      await this.removeFile(oldest);
      this.segments.shift();
      [oldest, next] = this.segments;
    }
    return oldest?.firstIndex;
  }

  /** Removes all segments. */
  async reset(): Promise<void> {
    while (this.segments.length > 0) {
      const last = this.segments.at(-1);
      if (last) await this.removeFile(last);
      this.segments.pop();
    }
  }

  private async removeFile(segment: Segment): Promise<void> {
    if (!segment.isCreated) return;
    await this.disk.remove(segment.name);
    await this.disk.syncFolder();
  }

  private checkOrder(
    segment: Segment,
    entries: readonly StoredEntry[],
    previous: LogEntry | undefined,
  ): void {
    const expectedFirst = previous ? previous.index + 1 : segment.firstIndex;
    const isInOrder = entries.every(
      ({ entry }, position) => entry.index === segment.firstIndex + position,
    );
    if (segment.firstIndex !== expectedFirst || !isInOrder) {
      this.failDamaged(segment.name, `expected consecutive entries from index ${expectedFirst}`);
    }
  }

  private failDamaged(name: string, detail: string): never {
    throw new FailureError({ kind: 'log_damaged', message: `log file "${name}": ${detail}` });
  }
}
