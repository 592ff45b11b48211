import { afterEach, describe, expect, it } from 'vitest';

import ReplicaGroupFixture, { listIds } from '../fixtures/ReplicaGroupFixture.ts';

describe('replicas that crash', () => {
  let group: ReplicaGroupFixture;

  afterEach(() => group.stopAll());

  /** Commits on a group of one replica until its disk stops; returns the acknowledged ids. */
  async function commitUntilStopped(
    stopAt: number,
    appliesLastOperation: boolean,
  ): Promise<string[]> {
    group = new ReplicaGroupFixture({ hosts: ['a'], snapshotEntries: 4 });
    Object.assign(group.getDisk('a'), { stopAt, appliesLastOperation });
    const acknowledged: string[] = [];
    const isStarted = await group.start('a').then(
      () => true,
      () => false,
    );
    if (!isStarted) return acknowledged;
    await group.clock.advanceBy(3000);
    for (const id of listIds(20)) {
      const result = await group.run(group.propose(group.get('a'), id, 200));
      if (!result.ok) return acknowledged;
      acknowledged.push(id);
    }
    return acknowledged;
  }

  // Guards against an order of writes, syncs, renames and removals that loses data in a crash.
  it.each([0, 7].flatMap((bytes) => [[true, bytes] as const, [false, bytes] as const]))(
    'should keep acknowledged commands when killed at any disk operation (applied: %s, unsynced bytes kept: %i)',
    async (appliesLastOperation, keptBytes) => {
      let stopAt = 1;
      let isFinished = false;
      while (!isFinished) {
        const acknowledged = await commitUntilStopped(stopAt, appliesLastOperation);
        isFinished = acknowledged.length === 20;
        group.kill('a', keptBytes);
        await group.start('a');
        await group.commit('last');
        const { ids } = group.get('a').state;
        const message = `killed at operation ${stopAt}`;
        expect(ids.slice(0, acknowledged.length), message).toEqual(acknowledged);
        expect(ids.length - acknowledged.length, message).toBeLessThanOrEqual(2);
        await group.stopAll();
        stopAt += 1;
      }
      expect(stopAt).toBeGreaterThan(60);
    },
  );

  // Guards against a follower that has only a part of a snapshot after a crash.
  it('should finish the installation of a snapshot after a kill at any disk operation', async () => {
    let stopAt = 1;
    let installations = 0;
    let isFinished = false;
    while (!isFinished) {
      group = new ReplicaGroupFixture({ snapshotEntries: 10, chunkBytes: 100 });
      await group.startAll();
      await group.commit('first');
      group.kill('c');
      await group.commitAll(listIds(40));
      const disk = group.getDisk('c');
      disk.stopAt = stopAt;
      disk.appliesLastOperation = stopAt % 2 === 0;
      // The first operation is the sync of the log at the start.
      if (stopAt === 1) await expect(group.start('c')).rejects.toThrow('the disk has stopped');
      else await group.start('c');
      await group.clock.advanceBy(1500);
      isFinished = disk.operations < stopAt;
      group.kill('c', 3);
      await group.start('c');
      await group.waitAllApplied(41);
      expect(group.get('c').state.ids).toEqual(['first', ...listIds(40)]);
      installations += group.log.messages.filter((text) => text.endsWith('installed')).length;
      await group.stopAll();
      stopAt += 1;
    }
    expect(stopAt).toBeGreaterThan(10);
    // When the follower is killed after the rename of the snapshot file, it installs no snapshot
    // after the restart.
    expect(installations).toBeGreaterThan(stopAt / 2);
  });

  it('should keep 500 commands and commit another one after all replicas are restarted', async () => {
    group = new ReplicaGroupFixture({ snapshotEntries: 64 });
    await group.startAll();
    const ids = listIds(500);
    await group.commitAll(ids);
    group.hosts.forEach((host) => group.kill(host));
    await group.startAll();

    await group.commit('after');
    await group.waitAllApplied(501);

    group.hosts.forEach((host) => expect(group.get(host).state.ids).toEqual([...ids, 'after']));
  });

  // Guards against a new leader that lacks commands which the leader before it acknowledged.
  it('should keep all acknowledged commands when leaders are killed one after another', async () => {
    group = new ReplicaGroupFixture();
    await group.startAll();
    const ids = listIds(6);
    for (const id of ids) {
      await group.commit(id);
      const { host } = await group.waitLeader();
      group.kill(host);
      await group.waitLeader();
      await group.start(host);
    }
    await group.waitAllApplied(6);

    expect(group.get('a').state.ids).toEqual(ids);
  });

  // Guards against an acknowledgement after a failed sync, which proves nothing about the disk.
  it('should stop a replica whose disk fails and continue to commit on the others', async () => {
    group = new ReplicaGroupFixture();
    await group.startAll();
    const leader = await group.waitLeader();
    group.getDisk(leader.host).stopAt = 0;

    const result = await group.run(group.propose(leader, 'x'));
    const stopped = await leader.replica.waitStopped();
    group.kill(leader.host);
    await group.commit('y');

    expect(result).toMatchObject({ ok: false, failure: { kind: 'no_quorum' } });
    expect(stopped).toMatchObject({ ok: false, failure: { kind: 'internal' } });
  });
});
