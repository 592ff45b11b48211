#!/usr/bin/env node
import { parseArgs } from 'node:util';

import SystemClock from '../adapters/system/SystemClock.ts';
import SystemRandomSource from '../adapters/system/SystemRandomSource.ts';
import WinstonLog from '../adapters/winston/WinstonLog.ts';
import parseSettings from '../adapters/yaml/parseSettings.ts';
import FailureError from '../domain/errors/FailureError.ts';
import ControlHost from './ControlHost.ts';
import type Daemon from './Daemon.ts';
import EntryHost from './EntryHost.ts';
import ProcessEnd from './ProcessEnd.ts';
import checkEnvironment from './checkEnvironment.ts';
import readSettings from './readSettings.ts';

const usage = `Usage: pistachiohoistd --config FILE [--check-config]

  --config FILE    settings of this daemon (YAML); see docs/configuration.md
  --check-config   check the settings, addresses and data folder, then exit
  --help           show this text

Exit codes: 0 stopped or check passed, 1 failed while running, 2 usage error or invalid settings.
`;
const processEnd: ProcessEnd = new ProcessEnd({ program: 'pistachiohoistd' });

function parseCommandLine(): { readonly file: string; readonly isCheckOnly: boolean } {
  try {
    const { values } = parseArgs({
      options: {
        config: { type: 'string' },
        'check-config': { type: 'boolean', default: false },
        help: { type: 'boolean', default: false },
      },
    });
    if (values.help) {
      process.stdout.write(usage);
      process.exit(0);
    }
    if (values.config === undefined)
      return processEnd.refuseCommand('option --config is missing; see --help');
    return { file: values.config, isCheckOnly: values['check-config'] };
  } catch (error) {
    return processEnd.refuseCommand(`${(error as Error).message}; see --help`);
  }
}

function waitSignal(): Promise<string> {
  return new Promise((resolve) => {
    (['SIGTERM', 'SIGINT'] as const).forEach((signal) => process.on(signal, () => resolve(signal)));
  });
}

async function startDaemon(file: string, isCheckOnly: boolean): Promise<void> {
  const refuse = (message: string): never =>
    isCheckOnly ? processEnd.refuseCommand(message) : processEnd.refuseStart(message);
  const result = await readSettings(file, parseSettings);
  if (!result.ok) return refuse(result.failure.message);
  const settings = result.value;
  processEnd.setHost(settings.host);
  const clock = new SystemClock();
  const log = new WinstonLog({ host: settings.host, level: settings.logLevel, clock });
  // A signal during startup is handled after startup; without a listener for it, it would terminate
  // the process immediately.
  const stopping = new AbortController();
  const stopRequested = waitSignal().then((signal) => {
    stopping.abort('stop requested');
    log.info('lifecycle: stop requested', { signal });
    return undefined;
  });
  const options = {
    settings,
    clock,
    random: new SystemRandomSource(),
    log,
    stopSignal: stopping.signal,
  };
  let daemon: Daemon;
  try {
    await checkEnvironment(settings, log);
    if (isCheckOnly) return process.exit(0);
    daemon = await (settings.role === 'entry'
      ? EntryHost.startHost(options)
      : ControlHost.startHost(options));
  } catch (error) {
    if (stopping.signal.aborted) {
      log.info('lifecycle: stopped while starting', { error: (error as Error).message });
      await log.endLog();
      return processEnd.endProcess('stop_requested');
    }
    if (error instanceof FailureError) refuse(`${file}: ${error.message}`);
    throw error;
  }
  log.info('lifecycle: started', { role: settings.role });
  const failure = await Promise.race([stopRequested, daemon.waitFailed()]);
  if (failure !== undefined) log.error('lifecycle: failed', { error: failure });
  await daemon.stop();
  await log.endLog();
  return failure === undefined
    ? processEnd.endProcess('stop_requested')
    : processEnd.endProcess('failed', { error: failure });
}

processEnd.watchProcess();
const { file, isCheckOnly } = parseCommandLine();
await startDaemon(file, isCheckOnly);
