import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import fleetTimes from '../../src/daemon/fleetTimes.ts';
import ReplicaGroupFixture, { listIds } from '../fixtures/ReplicaGroupFixture.ts';
import type { RunningReplica } from '../fixtures/ReplicaGroupFixture.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';

describe('replica that returns to its group', () => {
  let group: ReplicaGroupFixture;

  beforeEach(async () => {
    group = new ReplicaGroupFixture({ snapshotEntries: 16 });
    await group.startAll();
    await group.commitAll(listIds(5, 'before'));
  });

  afterEach(() => group.stopAll());

  async function findFollower(): Promise<RunningReplica> {
    const leader = await group.waitLeader();
    const follower = [...group.running.values()].find((running) => running !== leader);
    if (!follower) throw new Error('the group has no follower');
    return follower;
  }

  /** Commands that the replica lacked while it counted as current, the most at any moment. */
  async function watchMissing(host: string, committed: number): Promise<number> {
    const until = group.clock.now() + 5000;
    let mostMissing = 0;
    while (group.clock.now() < until) {
      await group.clock.advanceBy(5);
      const { replica, state } = group.get(host);
      if (replica.isCurrent) mostMissing = Math.max(mostMissing, committed - state.ids.length);
    }
    expect(group.get(host).replica.isCurrent).toBe(true);
    return mostMissing;
  }

  // Guards against a restarted control host that tells entry hosts that start of upstreams that
  // left while it was down, as if its state were current.
  it.each([
    ['entries', 3],
    ['a snapshot', 60],
  ])('should not be current before it has applied %s that it missed', async (_title, missed) => {
    const { host } = await findFollower();
    group.kill(host);
    await group.commitAll(listIds(missed, 'missed'));
    group.network.drawDelay = () => 40;
    await group.start(host);

    expect(await watchMissing(host, 5 + missed)).toBe(0);
  });

  it('should not be current before it has applied what it missed while it was cut off', async () => {
    const { host } = await findFollower();
    const others = group.hosts.filter((other) => other !== host);
    group.network.cutHost(host, others);
    await group.commitAll(listIds(60, 'missed'));
    await group.clock.advanceBy(3000);
    group.network.cuts.clear();
    group.network.drawDelay = () => 40;

    expect(await watchMissing(host, 65)).toBe(0);
  });

  // Guards against entry hosts that follow the smaller half of a split group, while the larger half
  // accepts changes.
  it('should not be current for long in a half without a majority', async () => {
    const hosts = ['a', 'b', 'c', 'd', 'e'];
    const split = new ReplicaGroupFixture({ hosts, times: fleetTimes, seed: 3 });
    await split.startAll();
    await split.commitAll(listIds(5));
    await split.clock.advanceBy(3000);
    const leader = (await split.waitLeader()).host;
    const smaller = [leader, hosts.find((host) => host !== leader) ?? ''];
    const larger = hosts.filter((host) => !smaller.includes(host));
    const isCurrent = (host: string): boolean => split.get(host).replica.isCurrent;
    const wereCurrent = hosts.every(isCurrent);
    smaller.forEach((host) => split.network.cutHost(host, larger));

    await split.clock.advanceBy(fleetTimes.quorumTimeoutMs);
    const stillCurrent = smaller.filter(isCurrent);
    await split.waitFor(() => larger.every(isCurrent), 3000);
    await split.stopAll();

    expect(wereCurrent).toBe(true);
    expect(stillCurrent).toEqual([]);
  });

  // Guards against entry hosts that leave a control host for one lost message.
  it('should stay current while every message is late and some are lost', async () => {
    const hosts = ['a', 'b', 'c', 'd', 'e'];
    const lossy = new ReplicaGroupFixture({ hosts, times: fleetTimes, seed: 4 });
    const random = new SeededRandom(4);
    await lossy.startAll();
    await lossy.commitAll(listIds(5));
    await lossy.clock.advanceBy(3000);
    lossy.network.drawDelay = () => random.next() * 100;
    lossy.network.isAnswerLost = () => random.next() < 0.03;
    let checks = 0;
    let failures = 0;
    while (checks < 3000) {
      await lossy.clock.advanceBy(100);
      checks += hosts.length;
      failures += hosts.filter((host) => !lossy.get(host).replica.isCurrent).length;
    }
    await lossy.stopAll();

    expect(failures / checks).toBeLessThan(0.005);
  });
});
