import winston from 'winston';

import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import type { LogFields } from '../../ports/Log.ts';
import LineStream from './LineStream.ts';

// 400 lines of about 300 bytes are 120 KB/s: a small load for a disk and for a log reader.
const defaultLinesPerSecond = 400;
const windowMs = 1000;

type Level = 'error' | 'warn' | 'info' | 'debug';

// The steps of a start and of a stop are few, and explain what happened under the heaviest load.
function isAlwaysWritten(level: Level, message: string): boolean {
  return level === 'error' || (level === 'info' && message.startsWith('lifecycle: '));
}

/** Options of the log. */
export interface WinstonLogOptions {
  readonly host: string;
  readonly level: string;
  readonly clock: Clock;
  /**
   * Maximum number of lines per second; further lines are dropped and their number is logged.
   * Errors and the steps of a start or a stop are always written.
   */
  readonly linesPerSecond?: number;
  readonly lines?: LineStream;
}

/** Writes one JSON line per message to standard output, at a bounded rate and without blocking. */
export default class WinstonLog implements Log {
  private readonly logger: winston.Logger;

  private readonly lines: LineStream;

  private readonly options: WinstonLogOptions;

  private windowEndsAt = -Infinity;

  private written = 0;

  private dropped = 0;

  constructor(options: WinstonLogOptions) {
    this.options = options;
    this.lines = options.lines ?? new LineStream();
    this.logger = winston.createLogger({
      level: options.level,
      defaultMeta: { host: options.host },
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
      transports: [new winston.transports.Stream({ stream: this.lines.stream })],
    });
  }

  debug(message: string, fields: LogFields = {}): void {
    this.writeLine('debug', message, fields);
  }

  info(message: string, fields: LogFields = {}): void {
    this.writeLine('info', message, fields);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.writeLine('warn', message, fields);
  }

  error(message: string, fields: LogFields = {}): void {
    this.writeLine('error', message, fields);
  }

  /** Resolves when every line has been handed to the operating system; later lines are lost. */
  endLog(): Promise<void> {
    return this.lines.endOutput();
  }

  private writeLine(level: Level, message: string, fields: LogFields): void {
    if (!this.logger.isLevelEnabled(level)) return;
    this.startWindow();
    const { linesPerSecond = defaultLinesPerSecond } = this.options;
    if (this.written >= linesPerSecond && !isAlwaysWritten(level, message)) {
      this.dropped += 1;
      return;
    }
    this.written += 1;
    this.logger.log(level, message, fields);
  }

  private startWindow(): void {
    const now = this.options.clock.now();
    if (now < this.windowEndsAt) return;
    this.windowEndsAt = now + windowMs;
    this.written = 0;
    const dropped = this.dropped + this.lines.takeDroppedCount();
    this.dropped = 0;
    if (dropped > 0) this.logger.log('warn', 'log: lines were dropped', { dropped });
  }
}
