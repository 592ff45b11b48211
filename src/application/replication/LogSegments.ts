import FailureError from '../../domain/errors/FailureError.ts';
import type LogEntry from '../../domain/replication/LogEntry.ts';
import type Disk from '../../ports/Disk.ts';
import type Log from '../../ports/Log.ts';
import decodeRecords from './decodeRecords.ts';

const namePrefix = 'log-';

interface Segment {
  readonly name: string;
  /** Index of its first record. */
  readonly first: number;
  /** Size of each record, in order. */
  readonly sizes: number[];
  /** False until the file and its name are synced. */
  isCreated: boolean;
}

/** An entry that was read and the size of its record. */
export interface StoredEntry {
  readonly entry: LogEntry;
  readonly size: number;
}

function createSegment(first: number, isCreated: boolean): Segment {
  const name = `${namePrefix}${String(first).padStart(16, '0')}`;
  return { name, first, sizes: [], isCreated };
}

function computeNext(segment: Segment): number {
  return segment.first + segment.sizes.length;
}

/** The files of the log: consecutive runs of records, named after their first index. */
export default class LogSegments {
  private readonly disk: Disk;

  private readonly segments: Segment[] = [];

  constructor(disk: Disk) {
    this.disk = disk;
  }

  /** Reads all files, cuts a torn last record off, and throws `log_damaged`. */
  async loadEntries(log: Log): Promise<readonly StoredEntry[]> {
    const names = (await this.disk.list()).filter((name) => name.startsWith(namePrefix));
    const loaded: StoredEntry[] = [];
    for (const name of names) {
      const segment = createSegment(Number(name.slice(namePrefix.length)), true);
      const content = (await this.disk.read(name)) ?? new Uint8Array();
      const { records, tail, validBytes } = decodeRecords(content);
      const isLast = name === names.at(-1);
      if (tail === 'damaged' || (tail === 'torn' && !isLast)) {
        this.failDamaged(name, `the record at byte ${validBytes} is damaged and others follow it`);
      }
      if (tail === 'torn') {
        log.warn('replication: torn last record cut off', {
          file: name,
          bytes: content.byteLength - validBytes,
        });
        await this.disk.truncate(name, validBytes);
        await this.disk.sync(name);
      }
      const entries = records.map(({ value, size }) => ({ entry: value as LogEntry, size }));
      this.checkOrder(segment, entries, loaded.at(-1)?.entry);
      entries.forEach(({ size }) => segment.sizes.push(size));
      this.segments.push(segment);
      loaded.push(...entries);
    }
    return loaded;
  }

  /** Throws `log_damaged` because the entries before the first one are missing. */
  static failGap(first: number, expectedFirst: number): never {
    throw new FailureError({
      kind: 'log_damaged',
      message: `log: the first entry has index ${first}: expected at most ${expectedFirst}`,
    });
  }

  /** Adds the records of consecutive entries with one sync. */
  async appendRecords(first: number, records: readonly Uint8Array[]): Promise<void> {
    const segment = this.segments.at(-1) ?? this.addSegment(first);
    await this.disk.append(segment.name, Buffer.concat(records));
    await this.disk.sync(segment.name);
    if (!segment.isCreated) await this.disk.syncFolder();
    segment.isCreated = true;
    records.forEach(({ byteLength }) => segment.sizes.push(byteLength));
  }

  /** Lets the next record begin a new file, so that older files can be removed as a whole. */
  addSegment(first: number): Segment {
    const last = this.segments.at(-1);
    if (last && last.first === first) return last;
    const segment = createSegment(first, false);
    this.segments.push(segment);
    return segment;
  }

  /** Removes the records from an index on; the files are synced afterwards. */
  async truncateFrom(index: number): Promise<void> {
    let last = this.segments.at(-1);
    while (last && last.first >= index && this.segments.length > 1) {
      // Newest first and synced one by one, so that a crash leaves no gap.
      await this.removeFile(last);
      this.segments.pop();
      last = this.segments.at(-1);
    }
    if (!last || computeNext(last) <= index) return;
    const kept = last.sizes.slice(0, index - last.first);
    const keptBytes = kept.reduce((sum, size) => sum + size, 0);
    await this.disk.truncate(last.name, keptBytes);
    // Synced before new records follow, or a crash could leave a mix of old and new ones.
    await this.disk.sync(last.name);
    last.sizes.length = kept.length;
  }

  /** Removes the files that hold only entries up to an index; returns the first index kept. */
  async dropThrough(index: number): Promise<number | undefined> {
    let [oldest, next] = this.segments;
    while (oldest && next && next.first <= index + 1) {
      await this.removeFile(oldest);
      this.segments.shift();
      [oldest, next] = this.segments;
    }
    return oldest?.first;
  }

  /** Removes all files. */
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
    const expectedFirst = previous ? previous.index + 1 : segment.first;
    const isInOrder = entries.every(
      ({ entry }, position) => entry.index === segment.first + position,
    );
    if (segment.first !== expectedFirst || !isInOrder) {
      this.failDamaged(segment.name, `expected consecutive entries from index ${expectedFirst}`);
    }
  }

  private failDamaged(name: string, detail: string): never {
    throw new FailureError({ kind: 'log_damaged', message: `log file "${name}": ${detail}` });
  }
}
