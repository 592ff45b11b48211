import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import ReplicaGroupFixture, { listIds } from '../fixtures/ReplicaGroupFixture.ts';
import type { RunningReplica } from '../fixtures/ReplicaGroupFixture.ts';

const hourMs = 3_600_000;

describe('replicas with failing links', () => {
  let group: ReplicaGroupFixture;
  let leader: RunningReplica;

  const listOthers = (host: string): string[] => group.hosts.filter((other) => other !== host);

  beforeEach(async () => {
    group = new ReplicaGroupFixture();
    await group.startAll();
    leader = await group.waitLeader();
    await group.commit('before');
  });

  afterEach(() => group.stopAll());

  it('should return the name of the leader when a follower gets a proposal', async () => {
    const [follower = ''] = listOthers(leader.host);

    const result = await group.propose(group.get(follower), 'y');

    expect(result).toMatchObject({ failure: { kind: 'not_leader', leader: leader.host } });
  });

  // Guards against a leader whose heartbeats prevent an election although it can't commit.
  it.each([
    // The leader can still send, so followers receive the command and the next leader commits it.
    ['in', 2 * hourMs, ['before', 'lost', 'during', 'after']],
    ['out', hourMs / 60, ['before', 'during', 'after']],
    ['both', hourMs / 60, ['before', 'during', 'after']],
  ] as const)(
    'should replace a leader whose links are cut in direction "%s" for %i ms',
    async (direction, durationMs, ids) => {
      group.network.cutHost(leader.host, listOthers(leader.host), direction);
      const lost = await group.run(group.propose(leader, 'lost', 5000));
      await group.waitFor(() => group.findLeader()?.host !== leader.host, 5000);
      const { term } = (await group.waitLeader()).replica;
      await group.commit('during');
      await group.clock.advanceBy(durationMs);

      expect(lost).toMatchObject({ ok: false, failure: { kind: 'no_quorum' } });
      expect(leader.replica.role).toBe('follower');
      expect(
        (await group.waitLeader()).replica.term,
        'the partitioned host starts no new term',
      ).toBe(term);
      group.network.cuts.clear();
      await group.commit('after');
      await group.waitAllApplied(ids.length);
      expect(leader.state.ids).toEqual(ids);
    },
    120_000,
  );

  // Guards against a stale read by a leader that has been replaced without receiving a message of
  // the new leader.
  it('should confirm reads of the new leader only', async () => {
    group.network.cutHost(leader.host, listOthers(leader.host));
    const stale = await group.run(leader.replica.confirmRead(group.clock.now() + 5000));
    await group.waitFor(() => group.findLeader()?.host !== leader.host);
    const next = await group.waitLeader();
    await group.commit('newer');
    const fresh = await group.run(next.replica.confirmRead(group.clock.now() + 1000));

    expect(stale).toMatchObject({ ok: false, failure: { kind: 'no_quorum' } });
    expect(fresh.ok).toBe(true);
    expect(next.state.ids).toEqual(['before', 'newer']);
  });

  // Guards against a command that is applied twice or answered with two different positions.
  it('should return the first position of a resent command when answers are lost', async () => {
    let count = 0;
    group.network.isAnswerLost = () => {
      count += 1;
      return count % 3 !== 0;
    };
    const positions: number[] = [];
    for (const id of listIds(10)) positions.push(await group.commit(id));
    group.network.isAnswerLost = () => false;
    const resent: number[] = [];
    for (const id of listIds(10)) resent.push(await group.commit(id));
    await group.waitAllApplied(11);

    expect(resent).toEqual(positions);
    expect(new Set(group.get('a').state.ids).size).toBe(11);
  });

  it('should commit while messages are delayed and reordered', async () => {
    let step = 0;
    group.network.drawDelay = () => {
      step = (step + 37) % 101;
      return step;
    };

    await group.commitAll(listIds(30));
    await group.waitAllApplied(31);

    expect(group.get('b').state.ids).toEqual(['before', ...listIds(30)]);
  });

  // Guards against a follower that handles messages to an earlier replica of its host.
  it('should refuse messages with a gap between entries or for another replica or group', async () => {
    const { replica } = group.get('b');
    const message = {
      ...{ groupId: replica.groupId ?? '', to: replica.replicaId, from: 'x', fromHost: 'x' },
      ...{
        term: 99,
        previousIndex: 0,
        previousTerm: 0,
        entries: [],
        commitIndex: 0,
        quorumAgeMs: 0,
      },
    };

    const otherReplica = await replica.handleAppend({ ...message, to: 'old id' });
    const entry = { index: 9, term: 99, proposedAt: 1, content: { kind: 'term_start' } } as const;
    const withGap = await replica.handleAppend({ ...message, entries: [entry] });
    const otherGroup = await replica.handleAppend({ ...message, groupId: 'other' });

    expect(otherReplica).toMatchObject({ failure: { kind: 'wrong_replica' } });
    expect(withGap).toMatchObject({ failure: { kind: 'message_invalid' } });
    expect(otherGroup).toMatchObject({ failure: { kind: 'wrong_replica' } });
    expect(replica.term).toBeLessThan(99);
  });

  // Guards against planned restarts that leave the group without a leader for an election timeout.
  it('should transfer leadership before a graceful stop', async () => {
    const accepted = group.propose(leader, 'accepted');
    const startedAt = group.clock.now();
    const stopped = leader.replica.stop(startedAt + 5000);
    const refused = await group.run(group.propose(leader, 'refused'));
    await group.run(stopped);

    expect((await accepted).ok).toBe(true);
    expect(refused).toMatchObject({ ok: false, failure: { kind: 'not_leader' } });
    expect((await group.waitLeader()).host).not.toBe(leader.host);
    expect(group.clock.now() - startedAt).toBeLessThan(500);
  });

  // Guards against one sync and one message for each proposal.
  it('should share syncs and messages among concurrent proposals', async () => {
    const disk = group.getDisk(leader.host);
    const before = { syncs: disk.syncs, calls: group.network.calls };

    await group.run(Promise.all(listIds(256).map((id) => group.propose(leader, id))));

    expect(disk.syncs - before.syncs).toBeLessThan(10);
    expect(group.network.calls - before.calls).toBeLessThan(20);
  });
});
