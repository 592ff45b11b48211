import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import ReplicaGroupFixture from '../fixtures/ReplicaGroupFixture.ts';

describe('stopped replica', () => {
  let group: ReplicaGroupFixture;

  beforeEach(() => {
    group = new ReplicaGroupFixture();
  });

  afterEach(() => group.stopAll());

  // Guards against waits that return immediately after the replica has stopped: the loop of the
  // preset watchers of a stopping control host then kept the processor busy for 10 s without a
  // pause.
  it('should resolve waits for applied commands only at their deadline', async () => {
    await group.startAll();
    const { replica } = await group.waitLeader();
    await replica.stop(group.clock.now());
    let isResolved = false;

    const waiting = replica.waitApplied(replica.appliedIndex, group.clock.now() + 1000).then(() => {
      isResolved = true;
    });
    await group.clock.advanceBy(999);
    expect(isResolved).toBe(false);
    await group.clock.advanceBy(1);
    await waiting;

    expect(isResolved).toBe(true);
  });
});
