import SerialExecutor from './SerialExecutor.ts';

/** What was written to a file since its last sync, so that it can be written again. */
export default class FileChanges {
  /** Runs the operations on the file one at a time. */
  readonly serial = new SerialExecutor();

  /** Whether the whole content was replaced since the last sync. */
  isReplaced = false;

  /** Number of bytes at the start of the file that are as they were last synced. */
  syncedSize: number;

  private unsynced: Uint8Array[] = [];

  constructor(syncedSize: number) {
    this.syncedSize = syncedSize;
  }

  get size(): number {
    return this.unsynced.reduce((sum, { byteLength }) => sum + byteLength, this.syncedSize);
  }

  /** The bytes after `syncedSize`. */
  get unsyncedBytes(): Uint8Array {
    return Buffer.concat(this.unsynced);
  }

  setContent(content: Uint8Array): void {
    this.isReplaced = true;
    this.syncedSize = 0;
    this.unsynced = [content];
  }

  addBytes(content: Uint8Array): void {
    this.unsynced.push(content);
  }

  truncateTo(size: number): void {
    this.unsynced = [this.unsyncedBytes.subarray(0, Math.max(0, size - this.syncedSize))];
    this.syncedSize = Math.min(this.syncedSize, size);
  }

  markSynced(): void {
    this.syncedSize = this.size;
    this.unsynced = [];
    this.isReplaced = false;
  }
}
