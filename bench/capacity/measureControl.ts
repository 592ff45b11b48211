import { mkdtemp, rm, stat } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { v4, v7 } from 'uuid';

import NodeDisk from '../../src/adapters/disk/NodeDisk.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';

import { parseControlSnapshot } from '../../src/adapters/trpc/controlMessages.ts';
import SnapshotFile from '../../src/application/replication/SnapshotFile.ts';
import type { ClaimChange } from '../../src/domain/claims/Claim.ts';
import ControlStateMachine from '../../src/domain/control/ControlStateMachine.ts';
import ReplicaGroupFixture from '../../tests/fixtures/ReplicaGroupFixture.ts';
import { createLargePreset } from './measureEntry.ts';
import { measureHeapMb, measureBlocking, measureProcessorMs, printSizes } from './measure.ts';

const claimCount = 1024;

function createChanges(): readonly ClaimChange[] {
  const claimIds = { key: v7(), attempt: v4() };
  const holder = 'entry-1/1800000000000';
  const answer = {
    status: 200,
    headers: [['content-type', 'application/json']],
    body: 'YmFzZTY0'.repeat(16),
  } as const;
  return [
    { ...claimIds, kind: 'claim', fingerprint: 'f'.repeat(64), holder },
    { ...claimIds, kind: 'complete', result: 'ran', answer },
  ];
}

/** Measures one command on three real replicas with fake disks that need 1 ms per operation. */
async function measureCommands(commands: readonly string[], concurrent: number) {
  const group = new ReplicaGroupFixture({ snapshotEntries: 4096, chunkBytes: 1_048_576 });
  group.drawDiskDelay = () => 1;
  await group.run(group.startAll());
  const leader = await group.waitLeader();
  const countSyncs = (): number =>
    [...group.disks.values()].reduce((sum, { syncs }) => sum + syncs, 0);
  const rounds = commands.length / concurrent;
  const before = { calls: group.network.calls, syncs: countSyncs() };
  const processorMs = await measureProcessorMs(
    rounds,
    (round) =>
      group.run(
        Promise.all(
          commands
            .slice(round * concurrent, (round + 1) * concurrent)
            .map((command) => group.propose(leader, command)),
        ),
      ),
    0,
  );
  const values = {
    'ms, all 3 hosts': processorMs / concurrent,
    'calls between hosts': (group.network.calls - before.calls) / commands.length,
    'syncs of a host': (countSyncs() - before.syncs) / commands.length / group.hosts.length,
    'command bytes': Buffer.byteLength(commands[0] ?? ''),
  };
  await group.stopAll();
  return values;
}

/**
 * Measures the heap that claim records occupy, and the time and the maximum event loop block to
 * write a snapshot of them and to restore it.
 */
async function measureRecords(records: number) {
  const state = new ControlStateMachine({ parseSnapshot: parseControlSnapshot });
  const applyClaim = (index: number): void => {
    const position = { index, term: 1, proposedAt: Date.now() };
    state.applyCommand({ kind: 'change_claims', changes: createChanges() }, position);
  };
  const before = process.cpuUsage();
  const heapMb = measureHeapMb(() => Array.from({ length: records }, (_, i) => applyClaim(i + 1)));
  const { user, system } = process.cpuUsage(before);
  const folder = await mkdtemp(join(tmpdir(), 'snapshot-'));
  const disk = await NodeDisk.openFolder(folder);
  const file = new SnapshotFile({ disk, clock: new SystemClock() });
  const configuration = { voters: [] };
  const metadata = { index: records, term: 1, proposedAt: 0, commandIndex: records, configuration };
  const writeSnapshot = async (): Promise<void> =>
    file.useStaged(await file.writeStaged({ metadata, parts: state.takeSnapshot() }));
  await writeSnapshot();
  const written = await measureBlocking(writeSnapshot);
  const restored = new ControlStateMachine({ parseSnapshot: parseControlSnapshot });
  const read = await measureBlocking(async () => {
    const restore = restored.startRestore();
    await file.readParts(restore);
    restore.commitRestore();
  });
  const { size } = await stat(join(folder, file.name));
  await rm(folder, { recursive: true });
  if (restored.claims.recordCount !== records) throw new Error('not all claims were restored');
  return {
    'heap MB': heapMb,
    'ms to create and apply, each': (user + system) / 1000 / records,
    'snapshot MB': size / 1e6,
    'ms to take and write': written.totalMs,
    'maximum block to write, ms': written.maxBlockMs,
    'ms to read and restore': read.totalMs,
    'maximum block to restore, ms': read.maxBlockMs,
  };
}

/** Measures claims, preset changes and claim records of the control group. */
export default async function measureControl(): Promise<void> {
  await printSizes({
    title: 'one claim, committed as one command (its completion is a second command)',
    sizeName: 'concurrent claims',
    sizes: [1, 16, 256],
    futureSize: 256,
    measure: (concurrent) =>
      measureCommands(
        Array.from({ length: claimCount }, () => JSON.stringify(createChanges()[0])),
        concurrent,
      ),
  });
  await printSizes({
    title: 'one preset change, committed but not applied',
    sizeName: 'routes',
    sizes: [1250, 2500, 5000],
    futureSize: 5000,
    measure: (routes) =>
      measureCommands(Array(12).fill(JSON.stringify(createLargePreset(routes))) as string[], 1),
  });
  await printSizes({
    title: 'claim records with the outcome ran and a stored answer of 128 characters',
    sizeName: 'records',
    sizes: [10_000, 50_000, 200_000],
    futureSize: 200_000,
    measure: measureRecords,
  });
}
