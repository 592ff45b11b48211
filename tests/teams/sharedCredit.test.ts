import { describe, expect, it } from 'vitest';

import SharedCredit from '../../src/domain/teams/SharedCredit.ts';
import computeCreditLimits from '../../src/domain/teams/computeCreditLimits.ts';

const settings = { windowMs: 5000, overshoot: 0.1, slack: 20 };
const team = { requestsPerSecond: 100, burst: 50 };
const limits = computeCreditLimits(team, settings);

function createCredit(part = 1): SharedCredit {
  return new SharedCredit({ limits, part, credit: Infinity, now: 0 });
}

/** Number of requests that come at one instant and are admitted. */
function countAdmitted(credit: SharedCredit, count: number, now: number): number {
  return Array.from({ length: count }, () => credit.admitRequest(now, 0.5)).filter(
    ({ isAdmitted }) => isAdmitted,
  ).length;
}

describe('SharedCredit', () => {
  it.each([
    { requestsPerSecond: 100, burst: 50 },
    { requestsPerSecond: 3, burst: 0 },
    { requestsPerSecond: 0.1, burst: 1000 },
  ])('should stay within the bound alone: $requestsPerSecond/s, burst $burst', (limit) => {
    const { requestsPerMs, burst } = computeCreditLimits(limit, settings);
    const bound = (5 * limit.requestsPerSecond + limit.burst) * 1.1 + 20;

    expect(requestsPerMs * 5000 + burst).toBeLessThanOrEqual(bound);
    expect(burst).toBeGreaterThanOrEqual(limit.burst);
  });

  // Guards against a bucket that refuses requests that come at the allowed rate.
  it('should admit the whole burst, then the rate', () => {
    const credit = createCredit();
    const atOnce = countAdmitted(credit, 50, 0);
    const refused = Array.from({ length: 300 }, (_, index) =>
      credit.admitRequest(10 * (index + 1), 0.99),
    ).filter(({ isAdmitted }) => !isAdmitted);

    expect(atOnce).toBe(50);
    expect(refused).toHaveLength(0);
  });

  it('should charge what other hosts admitted, and not more for a wrong report', () => {
    const credit = createCredit();
    credit.recordOthers({ admitted: 1e15, asked: 1e15 }, 1, 0);
    const blocked = countAdmitted(credit, 10, 1000);
    credit.recordOthers({ admitted: 0, asked: 0 }, 1, 9000);

    expect(blocked).toBe(0);
    expect(countAdmitted(credit, 1, 9000)).toBe(1);
  });

  // Guards against hosts that each use all of the credit once they stop hearing each other.
  it('should assume that silent hosts go on', () => {
    const credit = createCredit();
    Array.from({ length: 100 }, (_, index) =>
      credit.recordOthers({ admitted: 11, asked: 20 }, 1, 100 * index),
    );

    expect(countAdmitted(credit, 100, 10_900)).toBeLessThan(10);
  });

  it('should keep only its part of the credit when other hosts leave', () => {
    const credit = createCredit();
    credit.usePart(0.1, false, 0);

    expect(credit.readLevel(0)).toBeCloseTo(limits.burst / 10);
  });

  it('should charge its own requests against the part that remains', () => {
    const credit = createCredit();
    countAdmitted(credit, 30, 0);
    credit.usePart(0.1, false, 0);

    expect(credit.readLevel(0)).toBe(0);
  });

  it('should use up a fraction of a request whether it was admitted or not', () => {
    const credit = createCredit(0.5 / limits.burst);
    const first = credit.admitRequest(0, 0.6);
    const second = credit.admitRequest(0, 0.01);

    expect(first).toMatchObject({ isAdmitted: false, chance: 0.5 });
    expect(second.isAdmitted).toBe(false);
  });

  it('should take back a request that did not run', () => {
    const credit = createCredit();
    const before = credit.readLevel(0);
    credit.admitRequest(0, 0);
    credit.releaseRequest(0);

    expect(credit.readLevel(0)).toBe(before);
  });

  it('should spread refused callers over the time in which credit becomes free', () => {
    const credit = createCredit();
    countAdmitted(credit, 300, 0);
    const [first = 0, last = 0] = [0, 1].map((random) => credit.drawRetryTime(0, random));

    expect(first).toBeGreaterThan(0);
    expect(last - first).toBeGreaterThan(100);
  });

  it('should keep what was used when the limits change', () => {
    const credit = createCredit();
    countAdmitted(credit, 40, 0);
    const share = credit.readLevel(0) / limits.burst;
    const lower = computeCreditLimits({ requestsPerSecond: 10, burst: 5 }, settings);
    credit.useLimits(lower, 0);

    expect(credit.readLevel(0)).toBeCloseTo(share * lower.burst);
  });
});
