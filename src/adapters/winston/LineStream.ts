import { createWriteStream } from 'node:fs';
import type { WriteStream } from 'node:fs';
import { Writable } from 'node:stream';

/** Descriptor of standard output. */
export const standardOutput = 1;
// About one second of output at the maximum rate of the log.
const maxBufferedBytes = 131_072;

/**
 * Writes lines to standard output without ever blocking the event loop. Node.js writes to a pipe
 * synchronously, so a reader that stops reading would block the process; this class writes in the
 * background and drops lines that do not fit into its buffer.
 */
export default class LineStream {
  /** The stream to which the logger writes its lines. */
  readonly stream: Writable;

  private readonly output: WriteStream;

  private dropped = 0;

  private isEnded = false;

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
    // When standard output fails, there is nowhere left to report it.
    this.output.on('error', () => undefined);
  }

  /** Returns how many lines were dropped since the last call because the reader was too slow. */
  takeDroppedCount(): number {
    const { dropped } = this;
    this.dropped = 0;
    return dropped;
  }

  /** Resolves when all lines have been handed to the operating system; later lines are lost. */
  endOutput(): Promise<void> {
    this.isEnded = true;
    return new Promise((resolve) => {
      this.output.end(() => resolve());
    });
  }

  // A write after the end would destroy the output, and the end would never be reported.
  private acceptLine(line: string): void {
    if (this.isEnded) return;
    if (this.output.writableLength > maxBufferedBytes) this.dropped += 1;
    else this.output.write(line);
  }
}
