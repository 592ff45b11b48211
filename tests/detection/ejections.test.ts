import { describe, expect, it } from 'vitest';

import chooseEjected from '../../src/domain/detection/chooseEjected.ts';
import computeLeaseQuorum from '../../src/domain/detection/computeLeaseQuorum.ts';
import EjectionTracker from '../../src/domain/detection/EjectionTracker.ts';
import LeaseQuorum from '../../src/domain/detection/LeaseQuorum.ts';
import CoordinatorLeases from '../../src/domain/detection/CoordinatorLeases.ts';
import { createUpstream } from '../fixtures/createRecords.ts';

const serving = ['a', 'b', 'c', 'd', 'e'].map((upstream) => createUpstream({ upstream }));
const lease = (now: number, names: Record<string, number>, floor = 3) => ({
  now,
  serving,
  floor,
  latestDeadline: now + 2500,
  outliers: Object.entries(names).map(([upstream, severity]) => ({ upstream, severity })),
});
const listNames = (ejections: readonly { readonly upstream: string }[]) =>
  ejections.map(({ upstream }) => upstream).sort();

describe('leases', () => {
  // Guards against a lease that this host gave before it restarted and forgot.
  it('should grant no lease in the first three seconds', () => {
    const quorum = new CoordinatorLeases({ startedAt: 1000 });
    const coordinator = { host: 'x', incarnation: 1 };

    expect(quorum.grantLease('history', coordinator, 3999)).toBeUndefined();
    expect(quorum.grantLease('history', coordinator, 4000)).toBe(7000);
  });

  // Guards against a restarted coordinator that ejects more beside the ejections it forgot.
  it('should treat a restarted coordinator as another one until the promise ends', () => {
    const quorum = new CoordinatorLeases({ startedAt: 0 });
    quorum.grantLease('history', { host: 'x', incarnation: 1 }, 5000);

    expect(quorum.grantLease('history', { host: 'x', incarnation: 2 }, 7999)).toBeUndefined();
    expect(quorum.grantLease('history', { host: 'x', incarnation: 2 }, 8000)).toBe(11_000);
  });

  it('should end ejections before the majority does, by the clock allowance', () => {
    const majority = new LeaseQuorum();
    [4000, 2000, 3000].forEach((deadline, index) =>
      majority.recordLease({ reporter: `r${index}`, deadline, revision: 1 }),
    );

    expect(majority.computeLatestDeadline(3, 1)).toBe(1500);
    expect(majority.computeLatestDeadline(4, 1)).toBe(0);
  });

  // Guards against a coordinator that goes on with an older floor after a majority has a newer
  // preset.
  it('should count no lease of a reporter with a newer preset than the coordinator', () => {
    const majority = new LeaseQuorum();
    [1, 2, 2].forEach((revision, index) =>
      majority.recordLease({ reporter: `r${index}`, deadline: 4000, revision }),
    );

    expect(majority.computeLatestDeadline(2, 1)).toBe(0);
    expect(majority.computeLatestDeadline(2, 2)).toBe(3500);
  });
});

describe('computeLeaseQuorum', () => {
  const needed = (entryHosts: number, earlier: number, ageMs: number) =>
    computeLeaseQuorum({
      entryHosts,
      earlier: [{ entryHosts: earlier, replacedAt: 0 }],
      now: ageMs,
    });

  // Guards against two disjoint majorities, one of an earlier number of entry hosts.
  it('should leave no majority of a smaller earlier number for a day', () => {
    expect(needed(5, 3, 86_399_999)).toBe(4);
    expect(needed(5, 3, 86_400_000)).toBe(3);
  });

  // Guards against hosts above a lowered number that have not stopped yet.
  it('should take a majority of a larger earlier number for ten minutes', () => {
    expect(needed(3, 7, 599_999)).toBe(4);
    expect(needed(3, 7, 600_000)).toBe(2);
  });
});

describe('EjectionTracker', () => {
  it('should eject the worst upstreams when the floor allows only some', () => {
    const { ejections } = new EjectionTracker().decideEjections(
      lease(0, { a: 0.3, b: 2, c: 1, d: 0.5 }),
    );

    expect(listNames(ejections)).toEqual(['b', 'c']);
  });

  // Guards against counting an ejection as over while a host may still observe its lease.
  it('should count a displaced ejection until its last deadline has passed', () => {
    const tracker = new EjectionTracker();
    tracker.decideEjections(lease(0, { a: 0.1 }, 4));

    expect(tracker.decideEjections(lease(100, { b: 2 }, 4)).ejections).toEqual([]);
    expect(listNames(tracker.decideEjections(lease(3100, { b: 2 }, 4)).ejections)).toEqual(['b']);
  });

  // Guards against an upstream that alternates between good and bad and comes back each time.
  it('should double the time of repeated ejections up to the bound', () => {
    const times = { baseEjectionMs: 1000, maxEjectionMs: 3000, probationMs: 500, forgetMs: 60_000 };
    const tracker = new EjectionTracker({ times });
    const lengths = [0, 10_000, 20_000, 30_000].map((now) => {
      const { ejections } = tracker.decideEjections(lease(now, { a: 1 }));
      tracker.decideEjections(lease(now + 5000, {}));
      return (ejections[0]?.heldUntil ?? 0) - now;
    });

    expect(lengths).toEqual([1000, 2000, 3000, 3000]);
  });
});

describe('chooseEjected', () => {
  // Guards against a host with an incomplete directory that leaves out too many.
  it('should ignore the mildest ejections below the floor of its own directory', () => {
    const ejections = [0.2, 2].map((severity, index) => ({
      upstream: ['a', 'b'][index] ?? '',
      incarnation: 1,
      severity,
      deadline: 1,
      heldUntil: 1,
      repeats: 0,
    }));

    const ejected = chooseEjected({ serving: serving.slice(0, 4), ejections, floor: 3 });
    expect([...ejected]).toEqual(['b']);
  });
});
