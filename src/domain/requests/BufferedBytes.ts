/** Options of a buffer. */
export interface BufferedBytesOptions {
  /** Called with the change of the size in bytes. */
  readonly onChange: (bytes: number) => void;
  readonly onRelease: () => void;
  /** Returns the current time in milliseconds; unless set, the buffer has no age. */
  readonly readNow?: () => number;
}

const millisecondsPerSecond = 1000;

/** The bytes that one request or answer keeps in memory. */
export default class BufferedBytes {
  private readonly options: BufferedBytesOptions;

  private bytes = 0;

  private grownAt: number;

  private isReleased = false;

  private isKept = false;

  private onDrop: () => void = () => undefined;

  constructor(options: BufferedBytesOptions) {
    this.options = options;
    this.grownAt = this.readNow();
  }

  get size(): number {
    return this.bytes;
  }

  get mayDrop(): boolean {
    return !this.isReleased && !this.isKept;
  }

  /** How much others gain by dropping the buffer: its bytes for each second without progress. */
  computeWeight(now: number): number {
    return this.bytes * (1 + (now - this.grownAt) / millisecondsPerSecond);
  }

  /** Adds bytes, or takes off if negative; this buffer or another one may be dropped for them. */
  addBytes(count: number): void {
    if (this.isReleased) return;
    this.bytes += count;
    this.grownAt = this.readNow();
    this.options.onChange(count);
  }

  /** Sets what is called when the buffer has to give way to others. */
  setDropHandler(onDrop: () => void): void {
    this.onDrop = onDrop;
  }

  /** Marks the buffer as one that must not be dropped. */
  markKept(): void {
    this.isKept = true;
  }

  /** Drops the buffer to make room for others. */
  drop(): void {
    this.release();
    this.onDrop();
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.options.onRelease();
    this.options.onChange(-this.bytes);
  }

  private readNow(): number {
    return this.options.readNow?.() ?? 0;
  }
}
