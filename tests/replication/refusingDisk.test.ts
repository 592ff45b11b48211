import { expect, it } from 'vitest';

import ReplicaGroupFixture from '../fixtures/ReplicaGroupFixture.ts';

// Guards against a host whose memory runs out while its disk refuses: each message of the leader
// may bring entries, and waits for the disk.
it('should refuse messages beyond a number that wait for the disk, and go on later', async () => {
  const group = new ReplicaGroupFixture();
  await group.startAll();
  await group.commit('first');
  const leader = await group.waitLeader();
  const host = group.hosts.find((name) => name !== leader.host) ?? '';
  const { replica } = group.get(host);
  group.getDisk(host).errorCode = 'EMFILE';
  await group.commit('second');
  const header = {
    ...{ groupId: replica.groupId ?? '', to: replica.replicaId, from: leader.replica.replicaId },
    ...{ fromHost: leader.host, term: leader.replica.term },
  };
  const answers = Array.from({ length: 1000 }, () =>
    replica.handleAppend({
      ...header,
      ...{ previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, quorumAgeMs: 0 },
    }),
  );
  const refusals: string[] = [];
  answers.forEach((answer) => {
    answer.then((result) => {
      if (!result.ok) refusals.push(result.failure.kind);
    }, String);
  });
  await group.clock.advanceBy(100);

  expect(new Set(refusals)).toEqual(new Set(['host_not_ready']));
  expect(refusals.length).toBeGreaterThan(900);
  group.getDisk(host).errorCode = undefined;
  await group.commit('third');
  await group.waitAllApplied(3);
  await group.stopAll();
});
