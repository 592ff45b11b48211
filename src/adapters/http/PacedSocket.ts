import { Duplex } from 'node:stream';
import type { Socket } from 'node:net';

// Part of an answer that is handed to the operating system at a time.
const partBytes = 16_384;
// Bytes that wait for the parser from which on no more are read.
const maxWaitingBytes = 16_384;
// Smallest part of a received piece that is kept without a copy.
const keptShare = 0.25;
// Time for a client to end its side while it still sends, in milliseconds; see `closeWritten`.
const lingerMs = 500;

/** Decides how fast the bytes of a connection reach the parser. */
export interface SocketPacer {
  /** Number of the waiting bytes that the parser may get now; 0 while it has to wait. */
  readonly computeSliceBytes: (waiting: Buffer) => number;
  /** Called after bytes have arrived or were handed to the parser. */
  readonly updateInput: () => void;
}

type WriteCallback = (error?: Error | null) => void;

interface WrittenChunk {
  readonly chunk: Buffer | string;
  readonly encoding: BufferEncoding;
}

function joinChunks(chunks: readonly WrittenChunk[]): Buffer {
  return Buffer.concat(
    chunks.map(({ chunk, encoding }) =>
      typeof chunk === 'string' ? Buffer.from(chunk, encoding) : chunk,
    ),
  );
}

// A small rest of a large piece would keep all of it in memory.
function takeRest(rest: Buffer): Buffer {
  const isSmall = rest.byteLength < keptShare * rest.buffer.byteLength;
  return isSmall ? Buffer.concat([rest]) : rest;
}

/**
 * The connection of a client as the HTTP parser sees it: it hands over the received bytes in
 * slices, as its pacer allows it, and writes large answers in parts. The operating system keeps
 * what is not taken, so that the client has to wait. Some bytes are always read ahead, because
 * without reading the end of a client that closes would not be noticed.
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

  /** Received bytes that were not handed to the parser. */
  private waiting: Buffer | undefined;

  private isWanted = false;

  /** Whether the client has ended its side. */
  private isInputEnded = false;

  /** Set once the end of the last answer is sent; what arrives then is no longer parsed. */
  private isDiscarding = false;

  /** Whether bytes that the parser did not get were there at the end of the last answer. */
  private hadUnreadInput = false;

  constructor(raw: Socket) {
    super({
      allowHalfOpen: true,
      decodeStrings: false,
      readableHighWaterMark: 1,
      writableHighWaterMark: raw.writableHighWaterMark,
    });
    this.raw = raw;
    raw.on('data', (chunk) => this.takeChunk(chunk));
    raw.on('end', () => {
      this.isInputEnded = true;
      this.transferSlice();
    });
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
    return (this.waiting?.byteLength ?? 0) + this.raw.readableLength + this.readableLength;
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
    this.hadUnreadInput = this.waitingBytes > 0;
    this.isDiscarding = true;
    this.waiting = undefined;
    this.raw.resume();
    this.raw.end(callback);
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
    const size = chunks.reduce((sum, { chunk }) => sum + chunk.length, 0);
    if (size <= partBytes) {
      this.writeWhole({ chunk: joinChunks(chunks), encoding: 'latin1' }, callback);
      return;
    }
    this.writeParts(first, (error) => {
      if (error) callback(error);
      else this.writeChunks(others, callback);
    });
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
    if (this.writableFinished) this.closeWritten();
    else this.once('finish', () => this.closeWritten());
  }

  // Closing a connection with unread bytes would reset it, and the part of its last answer that the
  // operating system has not sent yet would be lost.
  private closeWritten(): void {
    if (!this.hadUnreadInput || this.isInputEnded) {
      this.destroy();
      return;
    }
    this.raw.once('end', () => this.destroy());
    const timer = setTimeout(() => this.destroy(), lingerMs);
    this.once('close', () => clearTimeout(timer));
  }

  private writeWhole({ chunk, encoding }: WrittenChunk, callback: WriteCallback): void {
    this.raw.write(chunk, encoding, (error) => {
      if (!error) this.writtenCount += 1;
      callback(error);
    });
  }

  private takeChunk(chunk: Buffer): void {
    if (this.isDiscarding) return;
    this.waiting = this.waiting ? Buffer.concat([this.waiting, chunk]) : chunk;
    this.transferSlice();
    this.updateReading();
    this.pacer?.updateInput();
  }

  private transferSlice(): void {
    if (!this.isWanted || this.destroyed) return;
    const { waiting } = this;
    const allowed = waiting ? this.computeAllowed(waiting) : 0;
    if (waiting && allowed > 0) this.sendSlice(waiting, allowed);
    else if (this.isInputEnded) {
      // The client has gone: what it sent ahead is not begun, and what runs is cancelled.
      this.waiting = undefined;
      this.isWanted = false;
      this.push(null);
    }
    this.updateReading();
  }

  private computeAllowed(waiting: Buffer): number {
    const { byteLength } = waiting;
    return Math.min(byteLength, this.pacer?.computeSliceBytes(waiting) ?? byteLength);
  }

  private sendSlice(waiting: Buffer, size: number): void {
    const slice = size < waiting.byteLength ? waiting.subarray(0, size) : waiting;
    this.waiting = size < waiting.byteLength ? takeRest(waiting.subarray(size)) : undefined;
    this.unparsedBytes += size;
    this.handedBytes += size;
    this.isWanted = false;
    // The parser asks for more by `_read`.
    this.push(slice);
    this.pacer?.updateInput();
  }

  private updateReading(): void {
    const isFull = (this.waiting?.byteLength ?? 0) >= maxWaitingBytes;
    if (isFull === this.raw.isPaused()) return;
    if (isFull) this.raw.pause();
    else this.raw.resume();
  }
}
