import { writeSync } from 'node:fs';

import type { LogFields } from '../../ports/Log.ts';
import { standardOutput } from './LineStream.ts';

/**
 * Writes the last log line of a process. It is complete when the call returns, unlike a line of the
 * log, which an ending process would lose.
 */
export default function writeLastLine(fields: LogFields): void {
  const line = JSON.stringify({ ...fields, timestamp: new Date().toISOString() });
  try {
    // eslint-disable-next-line n/no-sync -- an ending process runs no asynchronous work any more
    writeSync(standardOutput, `${line}\n`);
  } catch (error) {
    process.stderr.write(`log: the last line was not written: ${(error as Error).message}\n`);
  }
}
