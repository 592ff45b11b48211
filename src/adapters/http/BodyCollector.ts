/** Collects the chunks of one body. */
export default class BodyCollector {
  private chunks: Buffer[] = [];

  private receivedBytes = 0;

  /** Number of bytes that were added. */
  get size(): number {
    return this.receivedBytes;
  }

  addChunk(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.receivedBytes += chunk.byteLength;
  }

  /** Returns the body, which is complete, and keeps nothing of it. */
  takeBody(): Buffer {
    const body = Buffer.concat(this.chunks);
    this.drop();
    return body;
  }

  /** Keeps nothing of the body; listeners may hold this object for long. */
  drop(): void {
    this.chunks = [];
  }
}
