import { v4, v7 } from 'uuid';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { parseControlSnapshot } from '../../src/adapters/trpc/controlMessages.ts';
import ReplicaStore from '../../src/application/replication/ReplicaStore.ts';
import SnapshotFile from '../../src/application/replication/SnapshotFile.ts';
import decodeRecords from '../../src/application/replication/decodeRecords.ts';
import encodeRecord from '../../src/application/replication/encodeRecord.ts';
import type { ClaimChange } from '../../src/domain/claims/Claim.ts';
import type ControlCommand from '../../src/domain/control/ControlCommand.ts';
import type ControlSnapshot from '../../src/domain/control/ControlSnapshot.ts';
import ControlStateMachine from '../../src/domain/control/ControlStateMachine.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import MemoryDisk from '../fixtures/MemoryDisk.ts';
import ReplicaGroupFixture, { listIds } from '../fixtures/ReplicaGroupFixture.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';
import SilentLog from '../fixtures/SilentLog.ts';
import { listParts } from '../fixtures/restoreSnapshot.ts';
import createPreset from '../fixtures/createPreset.ts';

// This many records take 50 ms, a tenth of the minimum election timeout: a record blocked the event
// loop for 16.6 microseconds when 200,000 records were restored without a yield (docs/CAPACITY.md).
const maxRecordsPerTurn = 3000;

const holder = 'entry-1/1800000000000';
const configuration = { voters: [] };
const metadata = { index: 7, term: 1, proposedAt: 0, commandIndex: 7, configuration };

function createClaim(key: string, attempt: string = v4()): ClaimChange {
  return { kind: 'claim', key, fingerprint: 'f'.repeat(64), holder, attempt };
}

function createCompletion(claim: ClaimChange, result: 'ran' | 'unknown' | 'not_run'): ClaimChange {
  const { key, attempt } = claim;
  return { kind: 'complete', key, attempt, result, answer: undefined };
}

function countRecords({ claims }: ControlSnapshot): number {
  return claims.keys.reduce((sum, { current, released }) => {
    return sum + released.length + (current ? 1 : 0);
  }, 0);
}

describe('snapshot of claims', () => {
  let clock: FakeClock;
  let disk: MemoryDisk;
  let file: SnapshotFile;
  let state: ControlStateMachine;
  let index = 0;

  const createState = (
    onPart: (part: ControlSnapshot) => void = () => undefined,
  ): ControlStateMachine =>
    new ControlStateMachine({
      parseSnapshot: (part) => {
        const parsed = parseControlSnapshot(part);
        onPart(parsed);
        return parsed;
      },
    });

  const apply = (command: ControlCommand, proposedAt = clock.now()): void => {
    index += 1;
    state.applyCommand(command, { index, term: 1, proposedAt });
  };

  const change = (...changes: readonly ClaimChange[]): void =>
    apply({ kind: 'change_claims', changes });

  const createKeys = (count: number): readonly string[] =>
    Array.from({ length: count }, () => v7({ msecs: clock.now() }));

  const read = async (target: ControlStateMachine): Promise<unknown> => {
    const restore = target.startRestore();
    const restoredMetadata = await file.readParts(restore);
    restore.commitRestore();
    return restoredMetadata;
  };

  const write = async (): Promise<void> =>
    file.useStaged(await file.writeStaged({ metadata, parts: state.takeSnapshot() }));

  beforeEach(() => {
    clock = new FakeClock();
    disk = new MemoryDisk();
    file = new SnapshotFile({ disk, clock });
    state = createState();
    const preset = { name: 'ordinary', basedOn: 0, operator: 'ana' };
    apply({ kind: 'put_preset', preset: createPreset(), changeId: 'c-1', ...preset }, 0);
    apply({ kind: 'use_preset', changeId: 'c-2', ...preset }, 0);
  });

  // Guards against a snapshot that blocks the event loop for longer than an election timeout.
  it('should yield to the event loop after a bounded number of records', async () => {
    change(...createKeys(10_000).map((key) => createClaim(key)));
    const [key = ''] = createKeys(1);
    const attempts = Array.from({ length: 10_000 }, () => createClaim(key));
    change(...attempts.flatMap((claim) => [claim, createCompletion(claim, 'not_run')]));
    const counts = { written: new Map<number, number>(), read: new Map<number, number>() };
    const add = (kind: 'written' | 'read', part: ControlSnapshot): void => {
      const before = counts[kind].get(clock.yields) ?? 0;
      counts[kind].set(clock.yields, before + countRecords(part));
    };
    const { count, readPart } = state.takeSnapshot();
    const readCounted = (position: number): ControlSnapshot => {
      const part = readPart(position);
      add('written', part);
      return part;
    };

    const parts = { count, readPart: readCounted };
    await file.useStaged(await file.writeStaged({ metadata, parts }));
    await read(createState((part) => add('read', part)));

    [counts.written, counts.read].forEach((each) => {
      const values = [...each.values()];
      expect(values.reduce((sum, value) => sum + value, 0)).toBe(20_000);
      expect(Math.max(...values)).toBeLessThanOrEqual(maxRecordsPerTurn);
    });
  });

  // Guards against a snapshot whose parts contain the states at different log positions.
  it('should write the state at one index while later claims are applied', async () => {
    const keys = createKeys(2000);
    const claims = keys.map((key) => createClaim(key));
    change(...claims);
    change(
      ...claims
        .filter((_, position) => position % 3 === 0)
        .map((claim) => createCompletion(claim, 'not_run')),
    );
    const expected = listParts(state.takeSnapshot());
    let calls = 0;
    disk.waitBefore = async () => {
      claims
        .filter((_, position) => position % 5 === calls % 5)
        .forEach((claim, position) => {
          const nextClaim = createClaim(claim.key);
          change(createCompletion(claim, position % 2 === 0 ? 'ran' : 'not_run'), nextClaim);
          change(createCompletion(nextClaim, 'not_run'), createClaim(v7({ msecs: clock.now() })));
        });
      calls += 1;
      const afterRetention = clock.now() + 25 * 60 * 60 * 1000;
      // This change is proposed after the retention time, so it expires all records of the running
      // registry.
      if (calls === 5) apply({ kind: 'change_claims', changes: [] }, afterRetention);
    };

    await write();
    disk.waitBefore = () => Promise.resolve();
    const restored = createState();

    expect(await read(restored)).toEqual(metadata);
    expect(listParts(restored.takeSnapshot())).toEqual(expected);
    expect(calls).toBeGreaterThanOrEqual(5);
    expect(state.claims.recordCount).toBe(0);
  });

  // Guards against a data folder that cannot be opened after an upgrade.
  it('should read a snapshot file of an earlier release, which is a single record', async () => {
    const claims = createKeys(500).map((key) => createClaim(key));
    change(...claims, ...claims.slice(200).map((claim) => createCompletion(claim, 'not_run')));
    const parts = listParts(state.takeSnapshot());
    const legacySnapshot = {
      ...parts[0],
      claims: { ...parts[0]?.claims, keys: parts.flatMap((part) => part.claims.keys) },
    };
    const random = new SeededRandom();
    const restored = createState();
    const options = { disk, clock, random, host: 'a', log: new SilentLog(), state: restored };
    await ReplicaStore.openStore(options);
    await disk.write('snapshot', encodeRecord({ ...metadata, state: legacySnapshot }));

    const store = await ReplicaStore.openStore(options);

    expect(store.log.snapshotMetadata).toEqual(metadata);
    expect(listParts(restored.takeSnapshot())).toEqual(parts);
  });

  // Guards against a state that lacks records because a part of the snapshot file was lost.
  it('should refuse a snapshot file that lacks records or has them in another order', async () => {
    change(...createKeys(200).map((key) => createClaim(key)));
    await write();
    const content = Buffer.from((await disk.read('snapshot')) ?? []);
    const sizes = decodeRecords(content).records.map(({ size }) => size);
    const records = sizes.map((size, position) => {
      const offset = sizes.slice(0, position).reduce((sum, each) => sum + each, 0);
      return content.subarray(offset, offset + size);
    });
    const [head = content, ...others] = records;
    const damaged = [
      ...records.map((_, position) => records.slice(0, position)),
      ...records.map((_, missing) => records.filter((__, position) => position !== missing)),
      [head, ...others.toReversed()],
      [head, head, ...others],
      [...records, head],
      [content.subarray(0, -1)],
    ];

    for (const damagedRecords of damaged) {
      disk.updateFile('snapshot', () => Buffer.concat(damagedRecords));
      const target = createState();
      await expect(read(target)).rejects.toMatchObject({ failure: { kind: 'log_damaged' } });
      expect(target.claims.recordCount).toBe(0);
    }
    expect(damaged.length).toBeGreaterThan(10);
  });
});

describe('replicas with a large snapshot', () => {
  let group: ReplicaGroupFixture;

  afterEach(() => group.stopAll());

  // Guards against a leader that loses its leadership because it takes a snapshot.
  it('should keep the leader and continue to commit while a snapshot is written', async () => {
    group = new ReplicaGroupFixture({ snapshotEntries: 201 });
    await group.startAll();
    await group.commitAll(listIds(199));
    const leader = await group.waitLeader();
    const { term } = leader.replica;
    const before = { yields: group.clock.yields, calls: group.network.calls };
    // A snapshot has about 50 slices. Writing it takes 5 s, five times the maximum election
    // timeout.
    group.clock.yieldMs = 100;
    const startedAt = group.clock.now();

    await group.commitAll(listIds(20, 'y'));
    const committedMs = group.clock.now() - startedAt;
    await group.clock.advanceBy(3000 - committedMs);

    expect(group.clock.yields - before.yields).toBeGreaterThan(50);
    expect(group.log.messages).not.toContain('replication: snapshot stored');
    // The leader sends a heartbeat every 100 ms to each of two followers.
    expect(group.network.calls - before.calls).toBeGreaterThanOrEqual(2 * 29);
    await group.waitFor(() => group.log.messages.includes('replication: snapshot stored'));
    expect(group.findLeader()).toBe(leader);
    expect(leader.replica.term).toBe(term);
    expect(leader.state.ids).toHaveLength(219);
  });

  // Guards against an election, or a leader that steps down, while the follower that it needs for a
  // majority installs a snapshot for longer than an election timeout.
  it('should keep the leader while the follower that it needs for a majority installs a snapshot', async () => {
    group = new ReplicaGroupFixture();
    await group.startAll();
    await group.commit('first');
    const leader = await group.waitLeader();
    const [lagging = '', other = ''] = group.hosts.filter((host) => host !== leader.host);
    group.kill(lagging);
    await group.commitAll(listIds(200));
    const { term } = leader.replica;
    group.clock.yieldMs = 100;
    const startedAt = group.clock.now();

    await group.start(lagging);
    group.kill(other);
    await group.waitFor(() => group.get(lagging).state.ids.length === 201);

    expect(group.clock.now() - startedAt).toBeGreaterThan(3000);
    expect(group.log.messages).toContain('replication: snapshot installed');
    expect(group.findLeader()).toBe(leader);
    expect(leader.replica.term).toBe(term);
  });
});
