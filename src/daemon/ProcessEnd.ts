import writeLastLine from '../adapters/winston/writeLastLine.ts';
import type { LogFields } from '../ports/Log.ts';

/** Why a process ended. */
export type EndReason =
  'stop_requested' | 'start_refused' | 'failed' | 'uncaught_error' | 'nothing_left';

const exitCodes: Readonly<Record<EndReason, number>> = {
  stop_requested: 0,
  failed: 1,
  uncaught_error: 1,
  nothing_left: 1,
  start_refused: 2,
};

function describeError(error: unknown): LogFields {
  if (!(error instanceof Error)) return { error: String(error) };
  const { message, stack, code } = error as NodeJS.ErrnoException;
  return { error: message, code, stack };
}

/** Ends the process, with a last log line that says why. */
export default class ProcessEnd {
  private readonly program: string;

  private host: string | undefined;

  constructor(options: { readonly program: string }) {
    this.program = options.program;
  }

  /** Names the host in the last line, once the settings are known. */
  setHost(host: string): void {
    this.host = host;
  }

  /**
   * Ends the process at any error that nothing else handles, see docs/design.md, section 11, and
   * names the reason when it ends because nothing is left that it waits for.
   */
  watchProcess(): void {
    // Node.js makes a pipe non-blocking when it opens the stream. A write that blocks because
    // nobody reads the pipe would keep the process from ending. An error has nowhere to go.
    [process.stdout, process.stderr].forEach((stream) => stream.on('error', () => undefined));
    process.once('beforeExit', () => this.endProcess('nothing_left'));
    // Node.js reports an unhandled rejection as an uncaught error, with the origin that says so.
    process.on('uncaughtException', (error, origin) => this.endUncaught(error, origin));
  }

  endUncaught(error: unknown, origin: string): never {
    return this.endProcess('uncaught_error', { ...describeError(error), origin });
  }

  /** Ends a command that starts no daemon with a message on standard error only. */
  refuseCommand(message: string): never {
    process.stderr.write(`${this.program}: ${message}\n`);
    return process.exit(exitCodes.start_refused);
  }

  /** Ends the process with a message for the operator on standard error. */
  refuseStart(message: string): never {
    process.stderr.write(`${this.program}: ${message}\n`);
    return this.endProcess('start_refused', { error: message });
  }

  /** The lines that were logged before must have been written. */
  endProcess(reason: EndReason, fields: LogFields = {}): never {
    const exitCode = exitCodes[reason];
    const level = exitCode === 0 ? 'info' : 'error';
    const { host } = this;
    writeLastLine({ ...fields, host, level, message: 'lifecycle: ended', reason, exitCode });
    return process.exit(exitCode);
  }
}
