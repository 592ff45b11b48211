import { readFile } from 'node:fs/promises';

import SystemClock from '../adapters/system/SystemClock.ts';
import SystemRandomSource from '../adapters/system/SystemRandomSource.ts';
import runCommandLine from './runCommandLine.ts';

process.exitCode = await runCommandLine({
  parameters: process.argv.slice(2),
  environment: process.env,
  clock: new SystemClock(),
  random: new SystemRandomSource(),
  readFile: (path) => readFile(path, 'utf8'),
  writeOutput: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
});
