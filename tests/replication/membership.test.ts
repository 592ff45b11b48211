import { afterEach, describe, expect, it } from 'vitest';

import ReplicaGroupFixture, { listIds } from '../fixtures/ReplicaGroupFixture.ts';

describe('group membership', () => {
  let group: ReplicaGroupFixture;

  afterEach(() => group.stopAll());

  /** Whether the replica on a host is a voter in the configuration of every running replica. */
  const isVoterEverywhere = (host: string): boolean =>
    [...group.running.values()].every(({ replica }) =>
      replica.configuration.voters.some(
        ({ replicaId }) => replicaId === group.get(host).replica.replicaId,
      ),
    );

  // Guards against a wiped host that becomes a voter again before it has all acknowledged commands.
  it.each(['ab', 'ac', 'ba', 'bc', 'ca', 'cb'].map((pair) => pair.split('') as [string, string]))(
    'should keep all commands when %s is wiped and %s is lost as soon as the first is a voter again',
    async (wiped, lost) => {
      group = new ReplicaGroupFixture({ snapshotEntries: 10 });
      await group.startAll();
      await group.commitAll(listIds(40));
      const oldId = group.get(wiped).replica.replicaId;
      group.wipe(wiped);
      await group.commit('without');
      await group.start(wiped);
      await group.waitFor(() => isVoterEverywhere(wiped));
      group.wipe(lost);

      await group.commit('with');
      await group.waitAllApplied(42);

      [...group.running.values()].forEach(({ state, replica }) => {
        expect(state.ids).toEqual([...listIds(40), 'without', 'with']);
        expect(replica.configuration.voters).toHaveLength(3);
        expect(replica.configuration.voters.map(({ replicaId }) => replicaId)).not.toContain(oldId);
      });
    },
  );

  /** Kills a host while the group forms; returns how many groups there are afterwards. */
  async function countGroups(host: string, stopAt: number): Promise<number> {
    group = new ReplicaGroupFixture();
    Object.assign(group.getDisk(host), { stopAt, appliesLastOperation: stopAt % 2 === 0 });
    await Promise.all(group.hosts.map((name) => group.start(name).catch(() => undefined)));
    await group.clock.advanceBy(1500);
    group.kill(host);
    await group.start(host);
    await group.commit('x');
    await group.waitAllApplied(1);
    const groupIds = [...group.running.values()].map(({ replica }) => replica.groupId);
    await group.stopAll();
    return new Set(groupIds).size;
  }

  // Guards against a wiped host that votes although it lost its earlier vote and its entries.
  it('should not let a wiped host vote before it is added to the configuration', async () => {
    group = new ReplicaGroupFixture();
    await group.startAll();
    const leader = await group.waitLeader();
    await group.commit('x');
    const [wiped = '', lost = ''] = group.hosts.filter((host) => host !== leader.host);
    group.wipe(wiped);
    group.kill(lost);
    await group.start(wiped);
    await group.clock.advanceBy(10_000);

    expect(group.findLeader()).toBeUndefined();
    await group.start(lost);
    await group.waitFor(() => isVoterEverywhere(wiped));
    await group.waitAllApplied(1);
  });

  // Guards against a second group that lacks the commands of the first group.
  it('should not form a new group while a host is unreachable', async () => {
    group = new ReplicaGroupFixture();
    await group.startAll();
    await group.commit('x');
    group.wipe('a');
    group.wipe('b');
    group.kill('c');
    await group.start('a');
    await group.start('b');
    await group.clock.advanceBy(60_000);

    expect(group.get('a').replica.groupId).toBeUndefined();
    expect(group.get('b').replica.groupId).toBeUndefined();
  });

  // Guards against two groups after a crash when only some of the hosts have stored the group.
  it('should form one group when any host is killed at any of its disk operations', async () => {
    for (const host of ['a', 'b', 'c']) {
      for (const stopAt of Array.from({ length: 16 }, (_, index) => index + 1)) {
        expect(await countGroups(host, stopAt), `${host} killed at operation ${stopAt}`).toBe(1);
      }
    }
  });

  // Guards against a group that can't commit because its first host lost the stored group.
  it('should continue a group whose first host is wiped after the others stored it', async () => {
    group = new ReplicaGroupFixture();
    await group.startAll();
    await group.waitFor(() => group.get('b').replica.groupId !== undefined);
    const { groupId } = group.get('b').replica;
    group.wipe('a');
    await group.start('a');
    await group.commit('x');
    await group.waitFor(() => isVoterEverywhere('a'));

    expect(group.get('a').replica.groupId).toBe(groupId);
  });
});
