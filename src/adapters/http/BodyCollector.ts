/** Collects the chunks of one body. */
export default class BodyCollector {
  private chunks: Buffer[] = [];

  /** The body, if its length was declared; joining its chunks would take twice its size. */
  private whole: Buffer | undefined;

  private receivedBytes = 0;

  /** `declaredBytes` is undefined for a body of unknown length. */
  constructor(declaredBytes: number | undefined) {
    if (declaredBytes !== undefined) this.whole = Buffer.allocUnsafeSlow(declaredBytes);
  }

  get size(): number {
    return this.receivedBytes;
  }

  addChunk(chunk: Buffer): void {
    if (this.whole) chunk.copy(this.whole, this.receivedBytes);
    else this.chunks.push(chunk);
    this.receivedBytes += chunk.byteLength;
  }

  /** Returns the body, which is complete, and keeps nothing of it. */
  takeBody(): Buffer {
    const body = this.whole ?? Buffer.concat(this.chunks);
    this.drop();
    return body;
  }

  /** Keeps nothing of the body. */
  drop(): void {
    this.whole = undefined;
    this.chunks = [];
  }
}
