import { Duplex } from 'node:stream';
import type { Socket } from 'node:net';

// Part of an answer that is handed to the operating system at a time.
const partBytes = 16_384;

/** Decides how fast the bytes of a connection reach the parser. */
export interface SocketPacer {
  /** Number of bytes that the parser may get now; 0 while it has to wait. */
  readonly computeSliceBytes: () => number;
  /** Called after bytes have arrived or were handed to the parser. */
  readonly updateInput: () => void;
}

type WriteCallback = (error?: Error | null) => void;

interface WrittenChunk {
  readonly chunk: Buffer | string;
  readonly encoding: BufferEncoding;
}

/**
 * The connection of a client as the HTTP parser sees it: it hands over the received bytes in
 * slices, as its pacer allows it, and writes large answers in parts. The operating system keeps
 * what is not taken, so that the client has to wait.
 */
export default class PacedSocket extends Duplex {
  /** Number of bytes that were handed to the parser since it last began or continued a request. */
  unparsedBytes = 0;

  /** Number of bytes that were handed to the parser. */
  handedBytes = 0;

  /** Number of writes that the operating system has taken. */
  writtenCount = 0;

  private pacer: SocketPacer | undefined;

  private readonly raw: Socket;

  private isWanted = false;

  constructor(raw: Socket) {
    super({
      allowHalfOpen: true,
      decodeStrings: false,
      readableHighWaterMark: 1,
      writableHighWaterMark: raw.writableHighWaterMark,
    });
    this.raw = raw;
    raw.on('readable', () => {
      this.transferSlice();
      this.pacer?.updateInput();
    });
    raw.on('end', () => this.push(null));
    raw.on('timeout', () => this.emit('timeout'));
    raw.on('error', (error) => this.destroy(error));
    raw.on('close', () => this.destroy());
    // Node.js ends a connection after its last answer by this method, if there is one.
    Object.assign(this, { destroySoon: () => this.endWritten() });
  }

  get bytesRead(): number {
    return this.raw.bytesRead;
  }

  get remoteAddress(): string | undefined {
    return this.raw.remoteAddress;
  }

  /** Bytes that were received and not handed to the parser. */
  get waitingBytes(): number {
    return this.raw.readableLength + this.readableLength;
  }

  setPacer(pacer: SocketPacer): void {
    this.pacer = pacer;
  }

  /** Hands the next bytes to the parser if the pacer allows it now. */
  readNext(): void {
    this.transferSlice();
  }

  /** Records that the parser has begun a request or has read a part of its body. */
  markParsed(): void {
    this.unparsedBytes = 0;
  }

  // Node.js calls the following methods where a connection has them.
  setTimeout(timeoutMs: number, onTimeout?: () => void): this {
    this.raw.setTimeout(timeoutMs);
    if (onTimeout) this.once('timeout', onTimeout);
    return this;
  }

  setNoDelay(isOn?: boolean): this {
    this.raw.setNoDelay(isOn);
    return this;
  }

  setKeepAlive(isOn?: boolean, delayMs?: number): this {
    this.raw.setKeepAlive(isOn, delayMs);
    return this;
  }

  override _read(): void {
    this.isWanted = true;
    this.transferSlice();
  }

  override _write(chunk: Buffer | string, encoding: BufferEncoding, callback: WriteCallback): void {
    this.writeParts({ chunk, encoding }, callback);
  }

  override _writev(chunks: WrittenChunk[], callback: WriteCallback): void {
    this.writeChunks(chunks, callback);
  }

  override _final(callback: WriteCallback): void {
    this.raw.end(() => callback());
  }

  override _destroy(error: Error | null, callback: WriteCallback): void {
    if (this.raw.closed) {
      callback(error);
      return;
    }
    this.raw.once('close', () => callback(error));
    this.raw.destroy();
  }

  // The head of an answer and a short body leave in one packet.
  private writeChunks(chunks: readonly WrittenChunk[], callback: WriteCallback): void {
    const [first, ...others] = chunks;
    if (!first) {
      callback();
      return;
    }
    if (chunks.some(({ chunk }) => chunk.length > partBytes)) {
      this.writeParts(first, (error) => {
        if (error) callback(error);
        else this.writeChunks(others, callback);
      });
      return;
    }
    this.raw.cork();
    chunks.slice(0, -1).forEach(({ chunk, encoding }) => this.raw.write(chunk, encoding));
    this.writeWhole(others.at(-1) ?? first, callback);
    this.raw.uncork();
  }

  private writeParts({ chunk, encoding }: WrittenChunk, callback: WriteCallback): void {
    if (typeof chunk === 'string' || chunk.byteLength <= partBytes) {
      this.writeWhole({ chunk, encoding }, callback);
      return;
    }
    this.writeWhole({ chunk: chunk.subarray(0, partBytes), encoding }, (error) => {
      if (error) callback(error);
      else this.writeParts({ chunk: chunk.subarray(partBytes), encoding }, callback);
    });
  }

  private endWritten(): void {
    if (this.writable) this.end();
    if (this.writableFinished) this.destroy();
    else this.once('finish', () => this.destroy());
  }

  private writeWhole({ chunk, encoding }: WrittenChunk, callback: WriteCallback): void {
    this.raw.write(chunk, encoding, (error) => {
      if (!error) this.writtenCount += 1;
      callback(error);
    });
  }

  private transferSlice(): void {
    if (!this.isWanted || this.destroyed) return;
    const { readableLength } = this.raw;
    const size = Math.min(readableLength, this.pacer?.computeSliceBytes() ?? readableLength);
    if (size === 0 && readableLength > 0) return;
    // Without bytes, the read asks for more and notices the end.
    const slice: Buffer | null = size > 0 ? this.raw.read(size) : this.raw.read();
    if (!slice) return;
    this.isWanted = false;
    this.unparsedBytes += slice.byteLength;
    this.handedBytes += slice.byteLength;
    this.push(slice);
    this.pacer?.updateInput();
  }
}
