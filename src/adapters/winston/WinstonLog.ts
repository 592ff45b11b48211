import winston from 'winston';

import type Log from '../../ports/Log.ts';
import type { LogFields } from '../../ports/Log.ts';

/** Writes one JSON line per message to standard error. */
export default class WinstonLog implements Log {
  private readonly logger: winston.Logger;

  constructor(options: { readonly host: string; readonly level: string }) {
    this.logger = winston.createLogger({
      level: options.level,
      defaultMeta: { host: options.host },
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
      transports: [
        new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] }),
      ],
    });
  }

  debug(message: string, fields: LogFields = {}): void {
    this.logger.debug(message, fields);
  }

  info(message: string, fields: LogFields = {}): void {
    this.logger.info(message, fields);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.logger.warn(message, fields);
  }

  error(message: string, fields: LogFields = {}): void {
    this.logger.error(message, fields);
  }
}
