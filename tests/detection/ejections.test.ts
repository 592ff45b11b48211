import { describe, expect, it } from 'vitest';

import chooseEjected from '../../src/domain/detection/chooseEjected.ts';
import computeLeaseQuorum from '../../src/domain/detection/computeLeaseQuorum.ts';
import EjectionTracker from '../../src/domain/detection/EjectionTracker.ts';
import LeaseQuorum from '../../src/domain/detection/LeaseQuorum.ts';
import CoordinatorLeases from '../../src/domain/detection/CoordinatorLeases.ts';
import { createUpstream } from '../fixtures/createRecords.ts';

const serving = ['a', 'b', 'c', 'd', 'e'].map((upstream) => createUpstream({ upstream }));
const createRound = (now: number, severities: Record<string, number>, floor = 3) => ({
  now,
  serving,
  floor,
  latestDeadline: now + 2500,
  outliers: Object.entries(severities).map(([upstream, severity]) => ({ upstream, severity })),
});
const listNames = (ejections: readonly { readonly upstream: string }[]) =>
  ejections.map(({ upstream }) => upstream).sort();

describe('coordinator leases', () => {
  // A restarted host has lost its record of the lease that it granted before. Guards against
  // granting a second lease while the first one is still valid.
  it('should grant no lease in the first three seconds after the start', () => {
    const leases = new CoordinatorLeases({ startedAt: 1000 });
    const coordinator = { host: 'x', incarnation: 1 };

    expect(leases.grantLease('history', coordinator, 3999)).toBeUndefined();
    expect(leases.grantLease('history', coordinator, 4000)).toBe(7000);
  });

  // Guards against a restarted coordinator that has lost its ejections and adds others while hosts
  // still apply the earlier ones.
  it('should grant a restarted coordinator no lease until the lease of its earlier process expires', () => {
    const leases = new CoordinatorLeases({ startedAt: 0 });
    leases.grantLease('history', { host: 'x', incarnation: 1 }, 5000);

    expect(leases.grantLease('history', { host: 'x', incarnation: 2 }, 7999)).toBeUndefined();
    expect(leases.grantLease('history', { host: 'x', incarnation: 2 }, 8000)).toBe(11_000);
  });

  it('should limit ejections to the expiry of the lease quorum minus the maximum clock skew', () => {
    const quorum = new LeaseQuorum();
    [4000, 2000, 3000].forEach((deadline, index) =>
      quorum.recordLease({ reporter: `r${index}`, deadline, revision: 1 }),
    );

    expect(quorum.computeLatestDeadline(3, 1)).toBe(1500);
    expect(quorum.computeLatestDeadline(4, 1)).toBe(0);
  });

  // Guards against a coordinator that keeps ejecting under an older floor after a majority of the
  // reporters has a newer preset.
  it('should not count the lease of a reporter with a newer preset than the coordinator', () => {
    const quorum = new LeaseQuorum();
    [1, 2, 2].forEach((revision, index) =>
      quorum.recordLease({ reporter: `r${index}`, deadline: 4000, revision }),
    );

    expect(quorum.computeLatestDeadline(2, 1)).toBe(0);
    expect(quorum.computeLatestDeadline(2, 2)).toBe(3500);
  });
});

describe('computeLeaseQuorum', () => {
  const computeQuorum = (entryHosts: number, earlier: number, ageMs: number) =>
    computeLeaseQuorum({
      entryHosts,
      earlier: [{ entryHosts: earlier, replacedAt: 0 }],
      now: ageMs,
    });

  // Guards against two disjoint majorities, one of them of an earlier number of entry hosts.
  it('should leave too few other hosts for a majority of a smaller earlier fleet, for a day', () => {
    expect(computeQuorum(5, 3, 86_399_999)).toBe(4);
    expect(computeQuorum(5, 3, 86_400_000)).toBe(3);
  });

  // Guards against a second majority that includes hosts which the lowered number of entry hosts
  // removes but which have not stopped yet.
  it('should require a majority of a larger earlier fleet, for ten minutes', () => {
    expect(computeQuorum(3, 7, 599_999)).toBe(4);
    expect(computeQuorum(3, 7, 600_000)).toBe(2);
  });
});

describe('EjectionTracker', () => {
  it('should eject the most severe outliers when the floor does not allow all ejections', () => {
    const { ejections } = new EjectionTracker().decideEjections(
      createRound(0, { a: 0.3, b: 2, c: 1, d: 0.5 }),
    );

    expect(listNames(ejections)).toEqual(['b', 'c']);
  });

  // A more severe outlier replaces an ejected upstream. Guards against treating the first ejection
  // as expired while a host may still apply it.
  it('should count a replaced ejection against the floor until its last deadline has passed', () => {
    const tracker = new EjectionTracker();
    tracker.decideEjections(createRound(0, { a: 0.1 }, 4));

    expect(tracker.decideEjections(createRound(100, { b: 2 }, 4)).ejections).toEqual([]);
    expect(listNames(tracker.decideEjections(createRound(3100, { b: 2 }, 4)).ejections)).toEqual([
      'b',
    ]);
  });

  // Guards against an upstream that alternates between good and bad and returns to service quickly
  // each time.
  it('should double the duration of repeated ejections up to the maximum', () => {
    const times = { baseEjectionMs: 1000, maxEjectionMs: 3000, probationMs: 500, forgetMs: 60_000 };
    const tracker = new EjectionTracker({ times });
    const durations = [0, 10_000, 20_000, 30_000].map((now) => {
      const { ejections } = tracker.decideEjections(createRound(now, { a: 1 }));
      tracker.decideEjections(createRound(now + 5000, {}));
      return (ejections[0]?.heldUntil ?? 0) - now;
    });

    expect(durations).toEqual([1000, 2000, 3000, 3000]);
  });
});

describe('chooseEjected', () => {
  // Guards against a host with an incomplete directory that keeps fewer upstreams in use than the
  // floor.
  it('should ignore the least severe ejections when too few upstreams in the directory would remain', () => {
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
