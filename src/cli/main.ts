#!/usr/bin/env node
import { readFile, writeFile } from 'node:fs/promises';
import { userInfo } from 'node:os';

import SystemClock from '../adapters/system/SystemClock.ts';
import SystemRandomSource from '../adapters/system/SystemRandomSource.ts';
import runCommandLine from './runCommandLine.ts';

process.exitCode = await runCommandLine({
  parameters: process.argv.slice(2),
  // Services and containers often run without LOGNAME, which a login sets.
  environment: { LOGNAME: userInfo().username, ...process.env },
  clock: new SystemClock(),
  random: new SystemRandomSource(),
  readFile: (path) => readFile(path, 'utf8'),
  writeFile: (path, text) => writeFile(path, text),
  writeOutput: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
});
