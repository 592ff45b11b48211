import { expect, it } from 'vitest';

import ReportingDisk from '../../src/application/replication/ReportingDisk.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import MemoryDisk from '../fixtures/MemoryDisk.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const content = Buffer.from('content');

// Guards against a log that a full disk fills, and against one that says nothing of it.
it('should log the first error of a call on a file and its next success, and count all', async () => {
  const memory = new MemoryDisk();
  const log = new SilentLog();
  const disk = new ReportingDisk({ disk: memory, clock: new FakeClock(), log });
  memory.freeBytes = 0;

  await expect(disk.append('log', content)).rejects.toThrow('ENOSPC');
  await expect(disk.append('log', content)).rejects.toThrow('ENOSPC');
  await disk.truncate('log', 0);
  expect([disk.errorCount, disk.failingCount]).toEqual([2, 1]);
  memory.freeBytes = undefined;
  await disk.append('log', content);

  expect(disk.failingCount).toBe(0);
  expect(log.messages).toEqual([
    'replication: the disk refuses a call',
    'replication: the disk accepts the call again',
  ]);
});
