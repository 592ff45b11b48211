import { write } from 'node:fs';
import { Writable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import { promisify } from 'node:util';

/** Descriptor of standard output. */
export const standardOutput = 1;
// About one second of output at the maximum rate of the log.
const maxBufferedBytes = 131_072;
// Time after which a reader that was too slow is tried again; at the maximum rate of the log, the
// buffer lasts for about ten times as long.
const retryMs = 100;
// Time for the last lines of an ending process; a reader that has stopped must not keep it.
const endTimeoutMs = 500;

const writeBytes = promisify(write);

function countLines(bytes: Buffer): number {
  return bytes.filter((byte) => byte === 0x0a).byteLength;
}

/**
 * Writes lines to standard output without ever blocking the event loop. Node.js writes to a pipe
 * synchronously, so a reader that stops reading would block the process; this class writes in the
 * background and drops lines that do not fit into its buffer.
 */
export default class LineStream {
  /** The stream to which the logger writes its lines. */
  readonly stream: Writable;

  private readonly descriptor: number;

  private waiting: Buffer[] = [];

  /** Bytes that wait or are being written. */
  private bufferedBytes = 0;

  private writing: Promise<void> | undefined;

  private dropped = 0;

  private isEnded = false;

  constructor(options: { readonly descriptor?: number } = {}) {
    this.descriptor = options.descriptor ?? standardOutput;
    this.stream = new Writable({
      decodeStrings: false,
      write: (line: string, _encoding, done) => {
        this.acceptLine(line);
        done();
      },
    });
  }

  /**
   * Returns how many lines were dropped since the last call, because the reader was too slow or
   * the output refused them.
   */
  takeDroppedCount(): number {
    const { dropped } = this;
    this.dropped = 0;
    return dropped;
  }

  /**
   * Resolves when all lines have been handed to the operating system, or after 0.5 s; later lines
   * are lost.
   */
  async endOutput(): Promise<void> {
    this.isEnded = true;
    const ended = new AbortController();
    const timeout = sleep(endTimeoutMs, undefined, { signal: ended.signal }).catch(() => undefined);
    await Promise.race([this.writing, timeout]);
    ended.abort();
  }

  private acceptLine(line: string): void {
    if (this.isEnded) return;
    if (this.bufferedBytes > maxBufferedBytes) {
      this.dropped += 1;
      return;
    }
    const bytes = Buffer.from(line);
    this.waiting.push(bytes);
    this.bufferedBytes += bytes.byteLength;
    this.writing ??= this.writeWaiting();
  }

  private async writeWaiting(): Promise<void> {
    while (this.waiting.length > 0) {
      const bytes = Buffer.concat(this.waiting);
      this.waiting = [];
      await this.writeAll(bytes);
      this.bufferedBytes -= bytes.byteLength;
    }
    this.writing = undefined;
  }

  private async writeAll(bytes: Buffer): Promise<void> {
    let offset = 0;
    while (offset < bytes.byteLength) {
      const part = bytes.subarray(offset);
      offset += await this.writeSome(part);
    }
  }

  /** Returns how many bytes need no other attempt. */
  private async writeSome(bytes: Buffer): Promise<number> {
    try {
      const { bytesWritten } = await writeBytes(this.descriptor, bytes, 0, bytes.byteLength, null);
      return bytesWritten;
    } catch (error) {
      // Standard output does not block when it is a pipe, and a full one refuses to be written to.
      if ((error as NodeJS.ErrnoException).code === 'EAGAIN') {
        await sleep(retryMs);
        return 0;
      }
      // There is nowhere else to report the error; a later line is written again.
      this.dropped += countLines(bytes);
      return bytes.byteLength;
    }
  }
}
