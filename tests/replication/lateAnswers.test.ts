import { afterEach, describe, expect, it } from 'vitest';

import fleetTimes from '../../src/daemon/fleetTimes.ts';
import ReplicaGroupFixture from '../fixtures/ReplicaGroupFixture.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';

const hosts = Array.from({ length: 10 }, (_, index) => `c${index}`);
// Time in which the platform expects the acknowledgement of a change.
const acknowledgeMs = 4000;

describe('a large group whose hosts are short of processor time', () => {
  let group: ReplicaGroupFixture;

  afterEach(() => group.stopAll());

  function makeMessagesLate(seed: number): void {
    const random = new SeededRandom(seed);
    group.network.drawDelay = () => 100 + 200 * random.next();
  }

  /** Starts all hosts; returns how long the next change took, in milliseconds. */
  async function measureRestart(): Promise<number> {
    const startedAt = group.clock.now();
    await group.startAll();
    await group.commit('after');
    return group.clock.now() - startedAt;
  }

  // Guards against elections that fail one after the other while messages are late, so that no
  // change is acknowledged.
  it.each(Array.from({ length: 20 }, (_, index) => index + 1))(
    'should commit a change within 4 s after all hosts have restarted (seed %i)',
    async (seed) => {
      group = new ReplicaGroupFixture({ hosts, times: fleetTimes, seed });
      await group.startAll();
      await group.commit('before');
      await group.clock.advanceBy(3000);
      hosts.forEach((host) => group.kill(host));
      makeMessagesLate(seed);

      expect(await measureRestart()).toBeLessThanOrEqual(acknowledgeMs);
    },
  );

  // Guards against votes that are kept for a candidate that is preferred but can't win.
  it('should commit a change within 4 s when the preferred candidate gets no answers', async () => {
    group = new ReplicaGroupFixture({ hosts, times: fleetTimes });
    await group.startAll();
    await group.commit('before');
    const [preferred] = [...group.running.values()].sort((left, right) =>
      left.replica.replicaId < right.replica.replicaId ? -1 : 1,
    );
    hosts.forEach((host) => group.kill(host));
    makeMessagesLate(1);
    group.network.cutHost(preferred?.host ?? '', hosts, 'in');

    expect(await measureRestart()).toBeLessThanOrEqual(acknowledgeMs);
  });
});
