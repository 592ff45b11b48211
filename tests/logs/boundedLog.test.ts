import { execFile } from 'node:child_process';
import { constants } from 'node:fs';
import { mkdtemp, open, readFile, rm } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setImmediate } from 'node:timers/promises';
import { promisify } from 'node:util';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import LineStream from '../../src/adapters/winston/LineStream.ts';
import WinstonLog from '../../src/adapters/winston/WinstonLog.ts';
import FakeClock from '../fixtures/FakeClock.ts';

interface Line {
  readonly message: string;
  readonly level: string;
  readonly dropped?: number;
  readonly requestId?: string;
}

describe('log on standard output', () => {
  let folder: string;
  let file: FileHandle;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'log-'));
    file = await open(join(folder, 'out'), 'w');
  });

  afterEach(async () => {
    await file.close();
    await rm(folder, { recursive: true });
  });

  function createLog(clock: FakeClock, linesPerSecond: number): WinstonLog {
    const lines = new LineStream({ descriptor: file.fd });
    return new WinstonLog({ host: 'n1', level: 'info', clock, linesPerSecond, lines });
  }

  async function readLines(): Promise<Line[]> {
    const text = (await readFile(join(folder, 'out'), 'utf8')).trim();
    return text.split('\n').map((line) => JSON.parse(line) as Line);
  }

  it('should write one JSON line with its fields for each message', async () => {
    const log = createLog(new FakeClock(), 10);

    log.info('requests: answered', { requestId: 'r1' });
    await log.endLog();

    expect(await readLines()).toMatchObject([{ message: 'requests: answered', requestId: 'r1' }]);
  });

  // Guards against a process that does not end because a task logged a line after its last one.
  it('should end when a line follows while the last ones are being written', async () => {
    const log = createLog(new FakeClock(), 10);

    log.info('lifecycle: stopped');
    const ended = log.endLog();
    log.info('lifecycle: late');
    await ended;

    expect(await readLines()).toMatchObject([{ message: 'lifecycle: stopped' }]);
  });

  // Guards against a log that fills the disk or uses too much processor time under load.
  it('should drop lines above the maximum rate, log how many, and always write errors', async () => {
    const clock = new FakeClock();
    const log = createLog(clock, 10);

    Array.from({ length: 25 }, (_, index) => log.info(`requests: ${index}`));
    log.error('requests: failed');
    await clock.advanceBy(1000);
    log.info('requests: next');
    await log.endLog();

    const lines = await readLines();
    expect(lines).toHaveLength(13);
    expect(lines[10]?.message).toBe('requests: failed');
    expect(lines[11]).toMatchObject({ message: 'log: lines were dropped', dropped: 15 });
  });

  // Guards against a stop that the log does not show, because requests used up the rate of the log.
  it('should write the steps of a stop above the maximum rate', async () => {
    const log = createLog(new FakeClock(), 1);

    ['requests: one', 'requests: two', 'lifecycle: stop requested'].forEach((message) =>
      log.info(message),
    );
    log.warn('lifecycle: a listener failed');
    await log.endLog();

    const messages = (await readLines()).map(({ message }) => message);
    expect(messages).toEqual(['requests: one', 'lifecycle: stop requested']);
  });

  // Guards against a log that is silent for ever after its reader was slow once.
  it('should go on when a reader that has stopped reads again', async () => {
    const path = join(folder, 'pipe');
    await promisify(execFile)('mkfifo', [path]);

    const pipe = await open(path, constants.O_RDWR | constants.O_NONBLOCK);
    const filler = Buffer.alloc(4096);
    const fillPipe = async (): Promise<void> => {
      await pipe.write(filler);
      await fillPipe();
    };
    await expect(fillPipe()).rejects.toThrow('EAGAIN');
    const lines = new LineStream({ descriptor: pipe.fd });
    const log = new WinstonLog({ host: 'n1', level: 'info', clock: new FakeClock(), lines });

    log.info('requests: while it does not read');
    await log.endLog();
    let text = '';
    while (!text.includes('while it does not read')) {
      const { bytesRead } = await pipe.read(filler).catch(() => ({ bytesRead: 0 }));
      text += filler.toString('latin1', 0, bytesRead);
      await setImmediate();
    }
    await pipe.close();
  });

  // Guards against lines that are lost without a trace while the disk of the output is full.
  it('should count lines that the output refuses', async () => {
    const full = await open('/dev/full', 'w');
    const lines = new LineStream({ descriptor: full.fd });
    const log = new WinstonLog({ host: 'n1', level: 'info', clock: new FakeClock(), lines });

    log.info('requests: one');
    log.info('requests: two');
    await log.endLog();
    await full.close();

    expect(lines.takeDroppedCount()).toBe(2);
  });
});
