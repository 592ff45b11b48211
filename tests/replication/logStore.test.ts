import { beforeEach, describe, expect, it } from 'vitest';

import ReplicaStore from '../../src/application/replication/ReplicaStore.ts';
import encodeRecord from '../../src/application/replication/encodeRecord.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import ListStateMachine from '../fixtures/ListStateMachine.ts';
import MemoryDisk from '../fixtures/MemoryDisk.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';
import SilentLog from '../fixtures/SilentLog.ts';

describe('log store', () => {
  const log = new SilentLog();
  let disk: MemoryDisk;

  const openStore = (host = 'a'): Promise<ReplicaStore> =>
    ReplicaStore.openStore({
      ...{ disk, host, log, random: new SeededRandom() },
      ...{ clock: new FakeClock(), state: new ListStateMachine() },
    });

  async function writeEntries(count: number, opened?: ReplicaStore): Promise<string> {
    const store = opened ?? (await openStore());
    Array.from({ length: count }).forEach((_, index) =>
      store.log.addContent(1, { kind: 'command', command: `command ${index}` }, 1000),
    );
    await store.log.syncEntries();
    return (await disk.list()).find((name) => name.startsWith('log-')) ?? '';
  }

  const damageByte = (name: string, position: number): void =>
    disk.updateFile(name, (content) =>
      content.fill((content[position] ?? 0) + 1, position, position + 1),
    );

  async function takeSnapshot(store: ReplicaStore, index: number): Promise<void> {
    const configuration = { voters: [] };
    const metadata = { index, term: 1, proposedAt: 1000, commandIndex: index, configuration };
    const parts = { count: 2, readPart: (position: number) => ({ ids: [`id ${position}`] }) };
    await store.snapshotFile.useStaged(await store.snapshotFile.writeStaged({ metadata, parts }));
    await store.log.dropThrough(metadata);
  }

  beforeEach(() => {
    disk = new MemoryDisk();
  });

  it('should write all unsynced entries with one sync', async () => {
    const store = await openStore();
    await store.log.syncEntries();
    const syncsBefore = disk.syncs;

    await writeEntries(256);

    // The second sync is that of the folder, which now contains a new file.
    expect(disk.syncs - syncsBefore).toBe(2);
  });

  // Guards against an entry that a replica acknowledges after a restart of its process, although
  // only the page cache of the host has it, and that a loss of power then removes.
  it('should sync the entries that an earlier process had written but not synced', async () => {
    const store = await openStore();
    await writeEntries(1, store);
    // The process is killed between the append and the sync.
    disk.stopAt = disk.operations + 2;
    await expect(writeEntries(1, store)).rejects.toThrow('stopped');
    disk.stopAt = Infinity;
    const { syncedIndex } = (await openStore()).log;
    disk = disk.crash();

    expect(syncedIndex).toBe(2);
    expect((await openStore()).log.lastIndex).toBe(syncedIndex);
  });

  // Guards against a crash in the middle of a write.
  it.each([1, 5, 60])('should truncate a last record that lacks %i bytes', async (missing) => {
    const name = await writeEntries(4);
    disk.updateFile(name, (content) => content.subarray(0, -missing));

    const store = await openStore();

    expect(store.log.lastIndex).toBe(3);
    store.log.addContent(2, { kind: 'term_start' }, 1000);
    await store.log.syncEntries();
    expect((await openStore()).log.lastTerm).toBe(2);
  });

  // Guards against dropping acknowledged entries after a damaged one; byte 6 is in the length
  // field.
  it.each([0, 6, 10, 30, 150])('should refuse a log with byte %i damaged', async (position) => {
    const store = await openStore();
    for (let count = 0; count < 3; count += 1) await writeEntries(1, store);
    const name = await writeEntries(2, store);
    damageByte(name, position);

    await expect(openStore()).rejects.toMatchObject({ failure: { kind: 'log_damaged' } });
  });

  it('should refuse a damaged log of a release whose records do not tell what was synced', async () => {
    const name = await writeEntries(1);
    const entries = [1, 2, 3].map((index) => ({
      ...{ index, term: 1, proposedAt: 1000, content: { kind: 'term_start' } },
    }));
    disk.updateFile(name, () => Buffer.concat(entries.map(encodeRecord)));
    expect((await openStore()).log.lastIndex).toBe(3);
    damageByte(name, 10);

    await expect(openStore()).rejects.toMatchObject({ failure: { kind: 'log_damaged' } });
  });

  // Guards against a control host that does not start after a loss of power, which may keep later
  // parts of a write that was not synced and lose earlier ones.
  it.each([
    ['the first entry', 2, 0, 20],
    ['the middle', 3, 150, 300],
    ['all but the last byte', 2, 0, -1],
  ])(
    'should go on after a loss of power that loses %s of a write',
    async (_title, kept, from, to) => {
      const store = await openStore();
      await writeEntries(1, store);
      const name = await writeEntries(1, store);
      const syncedBytes = (await disk.read(name))?.byteLength ?? 0;
      await writeEntries(5, store);
      disk.updateFile(name, (content) =>
        content.fill(0, syncedBytes + from, to < 0 ? content.length + to : syncedBytes + to),
      );

      const restarted = await openStore();

      expect(restarted.log.lastIndex).toBe(kept);
      await writeEntries(1, restarted);
      expect((await openStore()).log.lastIndex).toBe(kept + 1);
    },
  );

  it('should refuse a damaged snapshot, vote or identity', async () => {
    const store = await openStore();
    await store.saveVote({ term: 3, votedFor: 'x' });
    await takeSnapshot(store, 0);

    for (const name of ['snapshot', 'vote', 'identity']) {
      damageByte(name, 25);
      await expect(openStore()).rejects.toMatchObject({ failure: { kind: 'log_damaged' } });
    }
  });

  // Guards against an unnoticed gap between the snapshot and the log.
  it('should refuse a log whose first file is missing', async () => {
    const store = await openStore();
    const name = await writeEntries(4, store);
    await takeSnapshot(store, 2);
    await writeEntries(4, store);
    await disk.remove(name);

    await expect(openStore()).rejects.toMatchObject({ failure: { kind: 'log_damaged' } });
  });

  // Guards against two hosts that share an identity after a folder was copied.
  it('should refuse the folder of another host', async () => {
    await openStore('a');

    await expect(openStore('b')).rejects.toMatchObject({
      failure: { kind: 'data_folder_unusable' },
    });
  });

  it('should remove the log files whose entries the last two snapshots include', async () => {
    const store = await openStore();
    await writeEntries(4, store);
    await takeSnapshot(store, 4);
    await writeEntries(4, store);
    await takeSnapshot(store, 8);

    expect(store.log.firstIndex).toBe(5);
    expect((await openStore()).log.lastIndex).toBe(8);
    expect((await disk.list()).filter((name) => name.startsWith('log-'))).toHaveLength(1);
  });

  // Guards against truncated entries that reappear after newer entries when the replica crashes.
  it.each([
    { stopAfter: Infinity, keptBytes: 0, expected: [3, 2] },
    { stopAfter: 2, keptBytes: 0, expected: [2, 1] },
    { stopAfter: 2, keptBytes: 10, expected: [2, 1] },
  ])('should keep a truncation after an append and a crash: %o', async (options) => {
    await writeEntries(6);
    const store = await openStore();
    await store.log.truncateFrom(3);
    // The first operation is the append, the second one its sync.
    disk.stopAt = disk.operations + options.stopAfter;
    store.log.addContent(2, { kind: 'term_start' }, 1000);
    await store.log.syncEntries().catch(() => undefined);
    disk = disk.crash(options.keptBytes);

    const { log: reopened } = await openStore();

    expect([reopened.lastIndex, reopened.lastTerm]).toEqual(options.expected);
  });

  // Guards against claims that expire early after a leader whose clock was ahead is replaced.
  it('should not give an entry an earlier time than the previous entry', async () => {
    await writeEntries(1);
    const store = await openStore();

    const entry = store.log.addContent(2, { kind: 'term_start' }, 400);

    expect(entry.proposedAt).toBe(1000);
  });
});
