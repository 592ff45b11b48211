import SerialExecutor from './SerialExecutor.ts';

/** What was written to a file since its last sync, so that it can be written again. */
export default class FileChanges {
  /** Runs the operations on the file one at a time. */
  readonly serial = new SerialExecutor();

  /** Whether the whole content was replaced since the last sync. */
  isReplaced = false;

  /** Number of bytes at the start of the file that are as they were last synced, or read. */
  syncedSize: number;

  /** Whether the file has bytes of an earlier process, which may not have synced them. */
  isReadBack: boolean;

  private unsynced: Uint8Array[] = [];

  /** `size` is the number of bytes that the file has already. */
  constructor(size: number) {
    this.syncedSize = size;
    this.isReadBack = size > 0;
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
    this.isReadBack = false;
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
    this.isReadBack = false;
  }
}
