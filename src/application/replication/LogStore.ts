import type LogEntry from '../../domain/replication/LogEntry.ts';
import type { EntryContent } from '../../domain/replication/LogEntry.ts';
import type ReplicaConfiguration from '../../domain/replication/ReplicaConfiguration.ts';
import type SnapshotMetadata from '../../domain/replication/SnapshotMetadata.ts';
import type Disk from '../../ports/Disk.ts';
import type Log from '../../ports/Log.ts';
import LogSegments from './LogSegments.ts';
import encodeRecord, { recordHeader } from './encodeRecord.ts';

interface KnownConfiguration {
  readonly index: number;
  readonly configuration: ReplicaConfiguration;
}

/** The entries of the log, in memory and on the disk. Methods that write run one at a time. */
export default class LogStore {
  private readonly segments: LogSegments;

  private entries: LogEntry[] = [];

  private sizes: number[] = [];

  /** Records of the entries after the synced one. */
  private waiting: Uint8Array[] = [];

  private configurations: KnownConfiguration[] = [];

  private start: SnapshotMetadata;

  /** Size of the entries after the snapshot. */
  bytesSinceSnapshot = 0;

  /** Last entry that is on the synced disk. */
  syncedIndex = 0;

  constructor(disk: Disk, start: SnapshotMetadata) {
    this.segments = new LogSegments(disk);
    this.start = start;
    this.setStart(start);
  }

  /** Reads the log; throws `log_damaged`. */
  async loadEntries(log: Log): Promise<void> {
    const { start } = this;
    const loaded = await this.segments.loadEntries(log);
    const atStart = loaded.find(({ entry }) => entry.index === start.index);
    const first = loaded[0]?.entry.index ?? start.index + 1;
    const last = loaded.at(-1)?.entry.index ?? start.index;
    const continues = atStart ? atStart.entry.term === start.term : last > start.index;
    if (loaded.length > 0 && !continues) {
      // An installed snapshot replaces a log that ends before it or differs from it.
      await this.segments.reset();
      return;
    }
    if (first > start.index + 1) LogSegments.failGap(first, start.index + 1);
    loaded.forEach(({ entry, size }) => this.addLoaded(entry, size));
    this.syncedIndex = this.lastIndex;
  }

  get firstIndex(): number {
    return this.entries[0]?.index ?? this.start.index + 1;
  }

  get lastIndex(): number {
    return this.entries.at(-1)?.index ?? this.start.index;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.start.term;
  }

  /** The snapshot that the log continues from. */
  get snapshotMetadata(): SnapshotMetadata {
    return this.start;
  }

  get isWaiting(): boolean {
    return this.waiting.length > 0;
  }

  /** The newest configuration, committed or not, and the entry that set it. */
  get configuration(): KnownConfiguration {
    return this.findConfiguration(Infinity);
  }

  /** The configuration that holds at an entry. */
  findConfiguration(index: number): KnownConfiguration {
    return (
      this.configurations.findLast((known) => known.index <= index) ?? {
        index: this.start.index,
        configuration: this.start.configuration,
      }
    );
  }

  /** The term of an entry; undefined when the log doesn't have it (any more). */
  readTerm(index: number): number | undefined {
    if (index === this.start.index) return this.start.term;
    return this.readEntry(index)?.term;
  }

  readEntry(index: number): LogEntry | undefined {
    return this.entries[index - this.firstIndex];
  }

  /** Consecutive entries from an index on, until they reach the size. */
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

  /** Adds an entry of this leader in memory; returns it as its record reads. */
  addContent(term: number, content: EntryContent, now: number): LogEntry {
    const previousTime = this.entries.at(-1)?.proposedAt ?? this.start.proposedAt;
    const entry = {
      index: this.lastIndex + 1,
      term,
      proposedAt: Math.max(now, previousTime),
      content,
    };
    const record = encodeRecord(entry);
    // Read back, so that the leader applies the same value as the followers and a restart.
    const stored = JSON.parse(record.subarray(recordHeader.bytes).toString()) as LogEntry;
    this.addRecord(stored, record);
    return stored;
  }

  /** Adds an entry received from the leader in memory. */
  addEntry(entry: LogEntry): void {
    this.addRecord(entry, encodeRecord(entry));
  }

  /** Writes all waiting entries with one sync. */
  async syncEntries(): Promise<void> {
    const records = this.waiting;
    if (records.length === 0) return;
    this.waiting = [];
    await this.segments.appendRecords(this.syncedIndex + 1, records);
    this.syncedIndex += records.length;
  }

  /** Removes the entries from an index on. */
  async truncateFrom(index: number): Promise<void> {
    const kept = Math.max(0, index - this.firstIndex);
    this.entries.length = Math.min(kept, this.entries.length);
    this.sizes.length = this.entries.length;
    this.configurations = this.configurations.filter((known) => known.index < index);
    this.waiting = this.waiting.slice(0, Math.max(0, index - 1 - this.syncedIndex));
    if (index > this.syncedIndex) return;
    await this.segments.truncateFrom(index);
    this.syncedIndex = index - 1;
  }

  /**
   * Continues from a snapshot of this log that is on the synced disk. The entries since the
   * snapshot before it stay, for followers that lag a little.
   */
  async dropThrough(start: SnapshotMetadata): Promise<void> {
    const previous = this.start;
    this.segments.addSegment(this.syncedIndex + 1);
    this.configurations = [
      this.findConfiguration(start.index),
      ...this.configurations.filter(({ index }) => index > start.index),
    ];
    this.start = start;
    this.bytesSinceSnapshot = 0;
    const first = (await this.segments.dropThrough(previous.index)) ?? this.firstIndex;
    const dropped = Math.min(Math.max(0, first - this.firstIndex), this.entries.length);
    this.entries = this.entries.slice(dropped);
    this.sizes = this.sizes.slice(dropped);
  }

  /** Continues from an installed snapshot that is on the synced disk, without any entry. */
  async resetTo(start: SnapshotMetadata): Promise<void> {
    this.entries = [];
    this.sizes = [];
    this.waiting = [];
    this.configurations = [];
    this.setStart(start);
    await this.segments.reset();
  }

  private setStart(start: SnapshotMetadata): void {
    this.start = start;
    this.bytesSinceSnapshot = 0;
    this.syncedIndex = start.index;
  }

  private addRecord(entry: LogEntry, record: Uint8Array): void {
    this.addLoaded(entry, record.byteLength);
    this.waiting.push(record);
  }

  private addLoaded(entry: LogEntry, size: number): void {
    this.entries.push(entry);
    this.sizes.push(size);
    if (entry.index > this.start.index) this.bytesSinceSnapshot += size;
    if (entry.content.kind === 'configuration') {
      this.configurations.push({
        index: entry.index,
        configuration: entry.content.configuration,
      });
    }
  }
}
