import { afterEach, describe, expect, it } from 'vitest';

import type { ReplicaTimes } from '../../src/application/replication/replicaTimes.ts';
import replicaTimes from '../../src/application/replication/replicaTimes.ts';
import chooseMembershipChange from '../../src/domain/replication/chooseMembershipChange.ts';
import ReplicaGroupFixture, { listIds } from '../fixtures/ReplicaGroupFixture.ts';

const times: ReplicaTimes = {
  ...replicaTimes,
  voterReplacementTimeoutMs: 600,
  voterRemovalTimeoutMs: 5000,
};
const founders = ['a', 'b', 'c'];

describe('control group that is found through seeds', () => {
  let group: ReplicaGroupFixture;

  afterEach(() => group.stopAll());

  /**
   * Starts a host with links to the founders, and adds links from the running founders to it, as
   * `ControlHostDiscovery` does.
   */
  async function startJoining(host: string): Promise<void> {
    await group.startJoining(host);
    founders
      .filter((founder) => group.running.has(founder))
      .forEach((founder) => group.addLink(founder, host));
  }

  function listVoters(): string[] {
    const leader = group.findLeader();
    return leader ? leader.replica.configuration.voters.map(({ host }) => host).sort() : [];
  }

  async function startGroup(): Promise<void> {
    group = new ReplicaGroupFixture({ hosts: founders, joining: ['d', 'e'], times });
    await group.startAll();
    await group.commitAll(listIds(10));
  }

  it('should add a host as a voter once it has caught up, although the settings do not name it', async () => {
    await startGroup();

    await startJoining('d');
    await group.waitFor(() => listVoters().length === 4);

    expect(group.get('d').state.ids).toEqual(listIds(10));
  });

  // Guards against a group that needs the votes of hosts that were replaced and never come back.
  it('should replace a lost voter with a host at another address', async () => {
    await startGroup();
    const lost = group.findLeader()?.host ?? '';
    group.wipe(lost);

    await startJoining('d');
    await group.waitFor(() => listVoters().includes('d') && !listVoters().includes(lost));
    await group.commit('later');

    expect(listVoters()).toHaveLength(3);
    expect(group.get('d').state.ids).toEqual([...listIds(10), 'later']);
  });

  // Guards against an accepted change that is stored on too few disks.
  it('should remove an unreachable voter from a group of four voters but not from one of three', async () => {
    await startGroup();
    await startJoining('d');
    await group.waitFor(() => listVoters().length === 4);
    const leader = (await group.waitLeader()).host;
    const [first, second] = ['a', 'b', 'c', 'd'].filter((host) => host !== leader);

    group.kill(first ?? '');
    await group.clock.advanceBy(7000);
    const votersAfterFirst = listVoters();
    group.kill(second ?? '');
    await group.clock.advanceBy(7000);

    expect(votersAfterFirst).not.toContain(first);
    expect(group.findLeader()?.replica.configuration.voters.length ?? 3).toBe(3);
  });

  it('should not form a group from hosts that may only join', async () => {
    group = new ReplicaGroupFixture({ hosts: founders, joining: ['d', 'e'], times });
    await Promise.all(['d', 'e'].map((host) => group.startJoining(host)));

    await group.clock.advanceBy(5000);

    expect([...group.running.values()].map(({ replica }) => replica.groupId)).toEqual([
      undefined,
      undefined,
    ]);
  });

  it('should remove a replaceable voter first, and otherwise add a caught-up learner as a voter', () => {
    const voters = founders.map((host) => ({ host, replicaId: host }));
    const learner = { host: 'd', replicaId: 'd' };

    const replacing = chooseMembershipChange(
      { voters },
      { caughtUp: [learner], replaceable: voters.slice(0, 1) },
    );
    const growing = chooseMembershipChange({ voters }, { caughtUp: [learner] });

    expect(replacing?.voters).toEqual(voters.slice(1));
    expect(growing?.voters).toEqual([...voters, learner]);
  });
});
