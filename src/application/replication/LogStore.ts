import type LogEntry from '../../domain/replication/LogEntry.ts';
import type { EntryContent } from '../../domain/replication/LogEntry.ts';
import type ReplicaConfiguration from '../../domain/replication/ReplicaConfiguration.ts';
import type SnapshotMetadata from '../../domain/replication/SnapshotMetadata.ts';
import type Disk from '../../ports/Disk.ts';
import type Log from '../../ports/Log.ts';
import LogSegments, { decodeEntry, encodeEntry } from './LogSegments.ts';

interface IndexedConfiguration {
  readonly index: number;
  readonly configuration: ReplicaConfiguration;
}

/**
 * The entries of the log, in memory and on the disk. Calls that write must not run concurrently.
 */
export default class LogStore {
  private readonly segments: LogSegments;

  private entries: LogEntry[] = [];

  private sizes: number[] = [];

  /** Records of the entries after `syncedIndex`. */
  private unsyncedRecords: Uint8Array[] = [];

  private configurations: IndexedConfiguration[] = [];

  private snapshot: SnapshotMetadata;

  /** Size of the records after the snapshot, in bytes. */
  bytesSinceSnapshot = 0;

  /** Index of the last entry that is synced to the disk. */
  syncedIndex = 0;

  constructor(disk: Disk, metadata: SnapshotMetadata) {
    this.segments = new LogSegments(disk);
    this.snapshot = metadata;
    this.setSnapshot(metadata);
  }

  /** Reads the log from the disk; throws `log_damaged` when it is not valid. */
  async loadEntries(log: Log): Promise<void> {
    const { snapshot } = this;
    const loaded = await this.segments.loadEntries(log);
    const entryAtSnapshot = loaded.find(({ entry }) => entry.index === snapshot.index);
    const firstIndex = loaded[0]?.entry.index ?? snapshot.index + 1;
    const lastIndex = loaded.at(-1)?.entry.index ?? snapshot.index;
    const followsSnapshot = entryAtSnapshot
      ? entryAtSnapshot.entry.term === snapshot.term
      : lastIndex > snapshot.index;
    if (loaded.length > 0 && !followsSnapshot) {
      // An installed snapshot replaces a log that ends before it or differs from it.
      await this.segments.reset();
      return;
    }
    if (firstIndex > snapshot.index + 1)
      LogSegments.failMissingEntries(firstIndex, snapshot.index + 1);
    loaded.forEach(({ entry, size }) => this.addToMemory(entry, size));
    this.syncedIndex = this.lastIndex;
  }

  get firstIndex(): number {
    return this.entries[0]?.index ?? this.snapshot.index + 1;
  }

  get lastIndex(): number {
    return this.entries.at(-1)?.index ?? this.snapshot.index;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.snapshot.term;
  }

  /** Metadata of the snapshot that the log continues from. */
  get snapshotMetadata(): SnapshotMetadata {
    return this.snapshot;
  }

  get hasUnsyncedRecords(): boolean {
    return this.unsyncedRecords.length > 0;
  }

  /** The newest configuration, committed or not, and the entry that set it. */
  get configuration(): IndexedConfiguration {
    return this.findConfiguration(Infinity);
  }

  /** The configuration that is in effect at an entry. */
  findConfiguration(index: number): IndexedConfiguration {
    return (
      this.configurations.findLast((indexed) => indexed.index <= index) ?? {
        index: this.snapshot.index,
        configuration: this.snapshot.configuration,
      }
    );
  }

  /** The term of an entry; undefined when the log does not have the entry, yet or any more. */
  readTerm(index: number): number | undefined {
    if (index === this.snapshot.index) return this.snapshot.term;
    return this.readEntry(index)?.term;
  }

  readEntry(index: number): LogEntry | undefined {
    return this.entries[index - this.firstIndex];
  }

  /**
   * Lists consecutive entries, starting at the index `from`, until their records reach `maxBytes`.
   * The first entry is listed whatever its size.
   */
  listEntries(from: number, maxBytes: number): readonly LogEntry[] {
    const offset = from - this.firstIndex;
    let end = offset;
    let bytes = 0;
    while (end < this.entries.length && (end === offset || bytes < maxBytes)) {
      bytes += this.sizes[end] ?? 0;
      end += 1;
    }
    return this.entries.slice(offset, end);
  }

  /** Appends an entry of this leader in memory; returns the entry as decoded from its record. */
  addContent(term: number, content: EntryContent, now: number): LogEntry {
    const previousTime = this.entries.at(-1)?.proposedAt ?? this.snapshot.proposedAt;
    const entry = {
      index: this.lastIndex + 1,
      term,
      proposedAt: Math.max(now, previousTime),
      content,
    };
    const record = encodeEntry(entry, this.syncedIndex);
    // The entry is decoded again, so that the leader applies the same value as the followers do and
    // as it does itself after a restart.
    const stored = decodeEntry(record);
    this.addRecord(stored, record);
    return stored;
  }

  /** Appends an entry that was received from the leader, in memory. */
  addEntry(entry: LogEntry): void {
    this.addRecord(entry, encodeEntry(entry, this.syncedIndex));
  }

  /** Writes all unsynced entries with one sync. */
  async syncEntries(): Promise<void> {
    const records = this.unsyncedRecords;
    if (records.length === 0) return;
    this.unsyncedRecords = [];
    await this.segments.appendRecords(this.syncedIndex + 1, records);
    this.syncedIndex += records.length;
  }

  /** Removes the entry at an index and all later entries. */
  async truncateFrom(index: number): Promise<void> {
    const kept = Math.max(0, index - this.firstIndex);
    this.entries.length = Math.min(kept, this.entries.length);
    this.sizes.length = this.entries.length;
    this.configurations = this.configurations.filter((indexed) => indexed.index < index);
    this.unsyncedRecords = this.unsyncedRecords.slice(0, Math.max(0, index - 1 - this.syncedIndex));
    if (index > this.syncedIndex) return;
    await this.segments.truncateFrom(index);
    this.syncedIndex = index - 1;
  }

  /**
   * Continues from a snapshot of this log that is synced to the disk. The entries since the
   * previous snapshot stay in the log for followers that lag slightly.
   */
  async dropThrough(metadata: SnapshotMetadata): Promise<void> {
    const previous = this.snapshot;
    this.segments.addSegment(this.syncedIndex + 1);
    this.configurations = [
      this.findConfiguration(metadata.index),
      ...this.configurations.filter(({ index }) => index > metadata.index),
    ];
    this.snapshot = metadata;
    this.bytesSinceSnapshot = 0;
    const first = (await this.segments.dropThrough(previous.index)) ?? this.firstIndex;
    const dropped = Math.min(Math.max(0, first - this.firstIndex), this.entries.length);
    this.entries = this.entries.slice(dropped);
    this.sizes = this.sizes.slice(dropped);
  }

  /** Removes all entries and continues from an installed snapshot that is synced to the disk. */
  async resetTo(metadata: SnapshotMetadata): Promise<void> {
    this.entries = [];
    this.sizes = [];
    this.unsyncedRecords = [];
    this.configurations = [];
    this.setSnapshot(metadata);
    await this.segments.reset();
  }

  private setSnapshot(metadata: SnapshotMetadata): void {
    this.snapshot = metadata;
    this.bytesSinceSnapshot = 0;
    this.syncedIndex = metadata.index;
  }

  private addRecord(entry: LogEntry, record: Uint8Array): void {
    this.addToMemory(entry, record.byteLength);
    this.unsyncedRecords.push(record);
  }

  private addToMemory(entry: LogEntry, size: number): void {
    this.entries.push(entry);
    this.sizes.push(size);
    if (entry.index > this.snapshot.index) this.bytesSinceSnapshot += size;
    if (entry.content.kind === 'configuration') {
      this.configurations.push({
        index: entry.index,
        configuration: entry.content.configuration,
      });
    }
  }
}
