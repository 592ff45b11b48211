import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import ReplicaGroupFixture from '../fixtures/ReplicaGroupFixture.ts';

describe('stopped replica', () => {
  let group: ReplicaGroupFixture;

  beforeEach(() => {
    group = new ReplicaGroupFixture();
  });

  afterEach(() => group.stopAll());

  // Guards against waits that return at once after the replica has stopped: the loop of the preset
  // watchers of a stopping control host then used the processor for 10 s without a pause.
  it('should resolve waits for applied commands only at their deadline', async () => {
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
