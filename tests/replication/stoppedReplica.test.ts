import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import ReplicaGroupFixture from '../fixtures/ReplicaGroupFixture.ts';

describe('stopped replica', () => {
  let group: ReplicaGroupFixture;

  beforeEach(() => {
    group = new ReplicaGroupFixture();
  });

  afterEach(() => group.stopAll());

  // A control host that stopped its replica span in the loop of its preset watchers for 10 s,
  // because each wait returned at once.
  it('should keep waiters until their deadline', async () => {
    await group.startAll();
    const { replica } = await group.waitLeader();
    await replica.stop(group.clock.now());
    let hasReturned = false;

    const waiting = replica.waitApplied(replica.appliedIndex, group.clock.now() + 1000).then(() => {
      hasReturned = true;
    });
    await group.clock.advanceBy(999);
    expect(hasReturned).toBe(false);
    await group.clock.advanceBy(1);
    await waiting;

    expect(hasReturned).toBe(true);
  });
});
