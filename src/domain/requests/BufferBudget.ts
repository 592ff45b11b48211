import BufferedBytes from './BufferedBytes.ts';

/** Limits the bytes of requests and answers that a process keeps in memory at a time. */
export default class BufferBudget {
  readonly maxBytes: number;

  private readonly buffers = new Set<BufferedBytes>();

  private totalBytes = 0;

  constructor(options: { readonly maxBytes: number }) {
    this.maxBytes = options.maxBytes;
  }

  /** Number of bytes that are kept now. */
  get usedBytes(): number {
    return this.totalBytes;
  }

  /** Opens a buffer, which is dropped when it is the largest one and there are too many bytes. */
  openBuffer(): BufferedBytes {
    const buffer: BufferedBytes = new BufferedBytes({
      onChange: (bytes) => this.updateTotal(bytes),
      onRelease: () => this.buffers.delete(buffer),
    });
    this.buffers.add(buffer);
    return buffer;
  }

  private updateTotal(bytes: number): void {
    this.totalBytes += bytes;
    while (this.totalBytes > this.maxBytes) {
      const largest = this.findLargest();
      if (!largest) return;
      largest.drop();
    }
  }

  private findLargest(): BufferedBytes | undefined {
    return [...this.buffers]
      .filter(({ mayDrop }) => mayDrop)
      .reduce<BufferedBytes | undefined>(
        (largest, buffer) => (buffer.size > (largest?.size ?? 0) ? buffer : largest),
        undefined,
      );
  }
}
