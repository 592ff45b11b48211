import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';

import RetryingDisk from '../../src/application/replication/RetryingDisk.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import MemoryDisk from '../fixtures/MemoryDisk.ts';

const text = Buffer.from('0123456789');

type Operation =
  | { readonly kind: 'write' | 'append'; readonly size: number }
  | { readonly kind: 'truncate'; readonly size: number }
  | { readonly kind: 'sync' };

/** An operation and what the disk refuses while it runs. */
interface Step {
  readonly operation: Operation;
  readonly freeBytes: number | undefined;
  readonly failingSyncs: number;
  readonly errorCode: string | undefined;
}

const size = fc.integer({ min: 0, max: 10 });
const step: fc.Arbitrary<Step> = fc.record({
  operation: fc.oneof(
    fc.record({ kind: fc.constantFrom('write' as const, 'append' as const), size }),
    fc.record({ kind: fc.constant('truncate' as const), size }),
    fc.record({ kind: fc.constant('sync' as const) }),
  ),
  freeBytes: fc.option(fc.integer({ min: 0, max: 5 }), { nil: undefined }),
  failingSyncs: fc.integer({ min: 0, max: 2 }),
  errorCode: fc.option(fc.constant('EMFILE'), { nil: undefined }),
});

describe('disk whose operations are retried', () => {
  let clock: FakeClock;
  let memory: MemoryDisk;
  let disk: RetryingDisk;

  const run = (operation: Operation): Promise<void> => {
    if (operation.kind === 'sync') return disk.sync('file');
    if (operation.kind === 'truncate') return disk.truncate('file', operation.size);
    return disk[operation.kind]('file', text.subarray(0, operation.size));
  };
  const apply = (content: Buffer, operation: Operation): Buffer => {
    if (operation.kind === 'sync') return content;
    const bytes = text.subarray(0, operation.size);
    if (operation.kind === 'write') return bytes;
    if (operation.kind === 'append') return Buffer.concat([content, bytes]);
    return content.subarray(0, operation.size);
  };

  beforeEach(() => {
    clock = new FakeClock();
    memory = new MemoryDisk();
    disk = new RetryingDisk({ disk: memory, clock });
  });

  // Guards against bytes that are written twice or in part, and against a sync that acknowledges
  // bytes which an earlier failed sync has lost.
  it('should leave the same content as a disk that never refuses, also after a crash', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 12 }), async (steps) => {
        memory = new MemoryDisk();
        disk = new RetryingDisk({ disk: memory, clock });
        await disk.append('file', text);
        let content: Buffer = text;
        for (const { operation, ...faults } of steps) {
          // A file is only truncated to fewer bytes than it has.
          if (operation.kind !== 'truncate' || operation.size <= content.length) {
            Object.assign(memory, faults);
            const running = run(operation);
            await clock.advanceBy(300);
            Object.assign(memory, { freeBytes: undefined, errorCode: undefined });
            await clock.advanceBy(1000);
            await running;
            memory.failingSyncs = 0;
            content = apply(content, operation);

            expect(Buffer.from((await memory.read('file')) ?? [])).toEqual(content);
          }
        }
        await disk.sync('file');
        await disk.syncFolder();

        expect(Buffer.from((await memory.crash().read('file')) ?? [])).toEqual(content);
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  // Guards against entries that count as durable after a failed sync has lost them.
  it('should keep what the process before has written when its first sync fails', async () => {
    await memory.append('file', text);
    await memory.syncFolder();
    await disk.read('file');
    memory.failingSyncs = 1;
    const syncing = disk.sync('file');
    await clock.advanceBy(1000);
    await syncing;

    expect(Buffer.from((await memory.crash().read('file')) ?? [])).toEqual(text);
  });

  // Guards against retries that keep the processor busy, and against an early acknowledgement.
  it('should try again ten times a second at most', async () => {
    memory.freeBytes = 5;
    let isDone = false;
    const appending = disk.append('file', text).then(() => {
      isDone = true;
    });
    await clock.advanceBy(10_000);

    expect(isDone).toBe(false);
    // A truncation and an append each time.
    expect(memory.operations).toBeLessThanOrEqual(202);
    memory.freeBytes = undefined;
    await clock.advanceBy(100);
    await appending;
  });

  // Guards against a process that hangs where only an operator can help.
  it.each(['EROFS', 'EACCES', 'ENOENT'])('should fail at once with %s', async (errorCode) => {
    memory.errorCode = errorCode;

    await expect(disk.append('file', text)).rejects.toThrow(errorCode);
  });

  // Guards against a host that can't stop while its disk is full.
  it('should fail once the time for retries has passed', async () => {
    memory.freeBytes = 0;
    const appending = expect(disk.append('file', text)).rejects.toThrow('ENOSPC');
    disk.endRetriesAt(clock.now() + 1000);
    await clock.advanceBy(1200);

    await appending;
  });
});
