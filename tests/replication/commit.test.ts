import { describe, expect, it } from 'vitest';

import ReplicaContext from '../../src/application/replication/ReplicaContext.ts';
import ReplicaStore from '../../src/application/replication/ReplicaStore.ts';
import chooseMembershipChange from '../../src/domain/replication/chooseMembershipChange.ts';
import decideVote from '../../src/domain/replication/decideVote.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import ListStateMachine from '../fixtures/ListStateMachine.ts';
import MemoryDisk from '../fixtures/MemoryDisk.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const members = ['a', 'b', 'c'].map((host) => ({ host, replicaId: `id-${host}` }));

describe('commit decisions', () => {
  /** Creates a leader of term 2 whose log has an entry of an earlier leader, of term 1. */
  async function createLeader() {
    const random = new SeededRandom();
    random.createId = () => 'id-a';
    const options = {
      ...{ host: 'a', hosts: ['a', 'b', 'c'], links: [], disk: new MemoryDisk(), random },
      ...{ clock: new FakeClock(), log: new SilentLog(), state: new ListStateMachine() },
    };
    const store = await ReplicaStore.openStore(options);
    await store.saveGroup({ groupId: 'group', founders: members });
    const context = new ReplicaContext(options, store);
    context.log.addContent(1, { kind: 'command', command: { id: 'old' } }, context.now);
    await store.saveVote({ term: 2, votedFor: 'id-a' });
    context.startLeadership();
    await context.log.syncEntries();
    return { context, leadership: context.leadership! };
  }

  // Guards against an entry that counts as committed although a later leader may replace it.
  it('should commit entries of older terms only with an entry of the current term', async () => {
    const { context, leadership } = await createLeader();
    const progress = leadership.setPeer({ host: 'b', replicaId: 'id-b' });

    progress.matchIndex = 1;
    context.commitMajority();
    expect(context.commitIndex).toBe(0);

    progress.matchIndex = 2;
    context.commitMajority();
    expect(context.commitIndex).toBe(2);
  });

  // Guards against an acknowledged command that only one replica has synced to its disk.
  it('should not count the leader towards a majority for entries that it has not synced', async () => {
    const { context, leadership } = await createLeader();
    context.addContent({ kind: 'command', command: { id: 'x' } });
    leadership.setPeer({ host: 'b', replicaId: 'id-b' }).matchIndex = 3;

    context.commitMajority();
    expect(context.commitIndex).toBe(2);

    await context.log.syncEntries();
    context.commitMajority();
    expect(context.commitIndex).toBe(3);
  });

  // Guards against a learner that counts towards the majority under the host name of a voter.
  it('should not count a learner that runs on the host of a voter as that voter', async () => {
    const { context, leadership } = await createLeader();

    leadership.setPeer({ host: 'b', replicaId: 'new id' }).matchIndex = 2;
    context.commitMajority();

    expect(context.commitIndex).toBe(0);
  });

  // Guards against two voters on one host, which fail together.
  it('should remove the old replica of a host before it adds the new one', () => {
    const learner = { host: 'c', replicaId: 'new id' };

    const first = chooseMembershipChange({ voters: members }, { caughtUp: [learner] });
    const second = chooseMembershipChange(first ?? { voters: [] }, { caughtUp: [learner] });

    expect(first?.voters).toEqual(members.slice(0, 2));
    expect(second?.voters).toEqual([...members.slice(0, 2), learner]);
    expect(
      chooseMembershipChange(second ?? { voters: [] }, { caughtUp: [learner] }),
    ).toBeUndefined();
  });

  // Guards against two leaders in one term.
  it('should grant the vote of a term to one candidate only, and only if its log is up to date', () => {
    const logState = { lastIndex: 7, lastTerm: 3, hasLeader: false, hasVoted: false };
    const isGranted = (votedFor: string, lastIndex: number, lastTerm: number): boolean =>
      decideVote({
        ...{ kind: 'vote', candidateId: 'x', term: 4, isTransfer: false, lastIndex, lastTerm },
        receiver: { ...logState, vote: { term: 4, votedFor } },
      }).isGranted;

    expect(isGranted('y', 7, 3)).toBe(false);
    expect(isGranted('x', 7, 3)).toBe(true);
    expect(isGranted('x', 9, 2), 'an older log').toBe(false);
  });

  // Guards against a candidate that deposes another one that is just winning, and split votes.
  it('should grant pre-votes to the preferred candidate only, and none while it has voted', () => {
    const preVote = { candidateId: 'm', lastIndex: 7, lastTerm: 3 };
    const isGranted = (candidateId: string, lastIndex: number, hasVoted = false): boolean =>
      decideVote({
        ...{ kind: 'pre_vote', candidateId, term: 5, isTransfer: false, lastIndex, lastTerm: 3 },
        receiver: {
          ...{ lastIndex: 7, lastTerm: 3, hasLeader: false, hasVoted, preVote },
          vote: { term: 4, votedFor: undefined },
        },
      }).isGranted;

    expect(isGranted('m', 7), 'the same candidate').toBe(true);
    expect(isGranted('a', 7), 'a lower id').toBe(true);
    expect(isGranted('z', 7), 'a higher id').toBe(false);
    expect(isGranted('z', 8), 'a newer log').toBe(true);
    expect(isGranted('a', 7, true), 'after a vote').toBe(false);
  });
});
