import BufferedBytes from './BufferedBytes.ts';

// Dropping somewhat more than needed saves a search at each of the next bytes.
const keptShare = 0.875;
// The other half is for the requests that each connection may have open even then.
const scarceShare = 0.5;

/** Options of a budget. */
export interface BufferBudgetOptions {
  readonly maxBytes: number;
  /** Returns the current time in milliseconds; unless set, buffers have no age. */
  readonly readNow?: () => number;
}

/** Limits the bytes of requests and answers that a process keeps in memory at a time. */
export default class BufferBudget {
  readonly maxBytes: number;

  /** Largest body of a single request; the rest is for its answer and its connection. */
  readonly maxBodyBytes: number;

  /** Number of buffers that were dropped to make room for others. */
  droppedCount = 0;

  private readonly readNow: () => number;

  private readonly buffers = new Set<BufferedBytes>();

  private totalBytes = 0;

  private isDropping = false;

  constructor({ maxBytes, readNow = () => 0 }: BufferBudgetOptions) {
    this.maxBytes = maxBytes;
    this.maxBodyBytes = Math.floor(keptShare * maxBytes);
    this.readNow = readNow;
  }

  /** Number of bytes that are kept now. */
  get usedBytes(): number {
    return this.totalBytes;
  }

  /** Whether so many bytes are kept that no connection should add more than it has to. */
  get isScarce(): boolean {
    return this.totalBytes > scarceShare * this.maxBytes;
  }

  /**
   * Opens a buffer. When there are too many bytes, the largest buffers are dropped, and first those
   * that have not grown for long.
   */
  openBuffer(): BufferedBytes {
    const buffer: BufferedBytes = new BufferedBytes({
      readNow: this.readNow,
      onChange: (bytes) => this.updateTotal(bytes),
      onRelease: () => this.buffers.delete(buffer),
    });
    this.buffers.add(buffer);
    return buffer;
  }

  private updateTotal(bytes: number): void {
    this.totalBytes += bytes;
    if (this.totalBytes <= this.maxBytes || this.isDropping) return;
    this.isDropping = true;
    const now = this.readNow();
    const candidates = [...this.buffers]
      .filter(({ mayDrop, size }) => mayDrop && size > 0)
      .map((buffer) => ({ buffer, weight: buffer.computeWeight(now) }))
      .sort((first, second) => second.weight - first.weight);
    candidates
      .map(({ buffer }) => buffer)
      .forEach((buffer) => {
        if (this.totalBytes <= keptShare * this.maxBytes) return;
        this.droppedCount += 1;
        buffer.drop();
      });
    this.isDropping = false;
  }
}
