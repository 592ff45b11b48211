import { readFile, writeFile } from 'node:fs/promises';
import { userInfo } from 'node:os';

import SystemClock from '../adapters/system/SystemClock.ts';
import SystemRandomSource from '../adapters/system/SystemRandomSource.ts';
import type Command from './Command.ts';
import runCommandLine from './runCommandLine.ts';

/** Runs this process as the command line, with all commands unless given; sets its exit code. */
export default async function runProcess(commands?: readonly Command[]): Promise<void> {
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
    commands,
  });
}
