import { createWriteStream } from 'node:fs';
import type { WriteStream } from 'node:fs';
import { Writable } from 'node:stream';

const standardOutput = 1;
// About two seconds of the most lines that the log lets through.
const maxWaitingBytes = 131_072;

/**
 * Writes lines to standard output without ever holding the event loop. Node.js writes to a pipe
 * synchronously, so that a reader that stops would stop the process; this writes in the background
 * and drops what does not fit.
 */
export default class LineStream {
  /** Takes the lines. */
  readonly stream: Writable;

  private readonly output: WriteStream;

  private dropped = 0;

  constructor(options: { readonly descriptor?: number } = {}) {
    const fd = options.descriptor ?? standardOutput;
    this.output = createWriteStream('', { fd, autoClose: false });
    this.stream = new Writable({
      decodeStrings: false,
      write: (line: string, _encoding, done) => {
        this.acceptLine(line);
        done();
      },
    });
    // Without a reader there is nobody left to tell.
    this.output.on('error', () => undefined);
  }

  /** Lines that were dropped because the reader is too slow, since the last call. */
  takeDropped(): number {
    const { dropped } = this;
    this.dropped = 0;
    return dropped;
  }

  /** Resolves when everything was handed to the operating system. */
  endOutput(): Promise<void> {
    return new Promise((resolve) => {
      this.output.end(() => resolve());
    });
  }

  private acceptLine(line: string): void {
    if (this.output.writableLength > maxWaitingBytes) this.dropped += 1;
    else this.output.write(line);
  }
}
