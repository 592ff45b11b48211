import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import ReplicaGroupFixture, { listIds } from '../fixtures/ReplicaGroupFixture.ts';

describe('replica group', () => {
  let group: ReplicaGroupFixture;

  beforeEach(() => {
    group = new ReplicaGroupFixture();
  });

  afterEach(() => group.stopAll());

  it('should apply acknowledged commands on every replica in the same order', async () => {
    await group.startAll();
    const ids = listIds(20);

    await group.commitAll(ids);
    await group.waitEqual(20);

    group.hosts.forEach((host) => expect(group.get(host).state.ids).toEqual(ids));
  });

  it('should name the leader when a follower gets a proposal', async () => {
    await group.startAll();
    const leader = await group.waitLeader();
    await group.commit('x');
    const follower = group.hosts.find((host) => host !== leader.host) ?? '';

    const result = await group.propose(group.get(follower), 'y');

    expect(result).toMatchObject({ failure: { kind: 'not_leader', leader: leader.host } });
  });

  it('should lose nothing acknowledged when leaders are killed one after another', async () => {
    await group.startAll();
    const ids = listIds(6);
    for (const id of ids) {
      await group.commit(id);
      const { host } = await group.waitLeader();
      group.kill(host);
      await group.waitLeader();
      await group.start(host);
    }
    await group.waitEqual(6);

    expect(group.get('a').state.ids).toEqual(ids);
  });
});
