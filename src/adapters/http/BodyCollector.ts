// Small pieces are joined in blocks, because each piece costs a buffer and an object, some hundred
// bytes. Blocks grow with the body, so that the unused part of the last one stays small.
const minBlockBytes = 1024;
const maxBlockBytes = 65_536;

/** Collects the pieces of one body in blocks. */
export default class BodyCollector {
  private blocks: Buffer[] = [];

  private receivedBytes = 0;

  private keptBytes = 0;

  /** Free bytes at the end of the last block. */
  private freeBytes = 0;

  /** Number of bytes that were added. */
  get size(): number {
    return this.receivedBytes;
  }

  /** Number of bytes that the blocks take up in memory. */
  get memoryBytes(): number {
    return this.keptBytes;
  }

  addChunk(chunk: Buffer): void {
    const fitting = Math.min(this.freeBytes, chunk.byteLength);
    this.writeToLast(chunk.subarray(0, fitting));
    const rest = chunk.subarray(fitting);
    if (rest.byteLength > 0) {
      this.addBlock(rest.byteLength);
      this.writeToLast(rest);
    }
    this.receivedBytes += chunk.byteLength;
  }

  /** Returns the body, which is complete, and keeps nothing of it. */
  takeBody(): Buffer {
    const [first, ...others] = this.blocks;
    const isSingle = first !== undefined && others.length === 0;
    const body = isSingle
      ? first.subarray(0, this.receivedBytes)
      : Buffer.concat(this.blocks, this.receivedBytes);
    this.drop();
    return body;
  }

  /** Keeps nothing of the body; listeners may hold this object for long. */
  drop(): void {
    this.blocks = [];
    this.freeBytes = 0;
  }

  // A body that fits into one piece gets a block of just its size.
  private addBlock(neededBytes: number): void {
    const grownBytes = Math.min(maxBlockBytes, Math.max(minBlockBytes, this.receivedBytes));
    const bytes = this.blocks.length === 0 ? neededBytes : Math.max(neededBytes, grownBytes);
    this.blocks.push(Buffer.allocUnsafeSlow(bytes));
    this.freeBytes = bytes;
    this.keptBytes += bytes;
  }

  private writeToLast(bytes: Buffer): void {
    const block = this.blocks.at(-1);
    if (!block) return;
    bytes.copy(block, block.byteLength - this.freeBytes);
    this.freeBytes -= bytes.byteLength;
  }
}
