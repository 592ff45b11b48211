import { describe, expect, it } from 'vitest';

import DomainRetryBudgets from '../../src/application/fleet/DomainRetryBudgets.ts';
import type { PeerRetryCounts } from '../../src/application/fleet/PeerActivities.ts';
import type { LogFields } from '../../src/ports/Log.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import SilentLog from '../fixtures/SilentLog.ts';

function createBudgets(
  clock: FakeClock,
  others: PeerRetryCounts,
  log = new SilentLog(),
): DomainRetryBudgets {
  return new DomainRetryBudgets({
    ...{ clock, log },
    share: 0.2,
    extra: 60,
    windowMs: 10_000,
    failureDomains: 3,
    readOtherCounts: () => others,
  });
}

describe('DomainRetryBudgets', () => {
  const noRetries = { requests: 0, retries: 0, hosts: 0 };

  function takeRetries(budgets: DomainRetryBudgets, calls: number): number {
    const budget = budgets.getBudget('history', 'r1');
    return Array.from({ length: calls }, () => budget.takeRetry()).filter(Boolean).length;
  }

  // Guards against retries of all failure domains that together exceed the limit of the service.
  it('should let a single host use four fifths of the budget of its failure domain', () => {
    const budgets = createBudgets(new FakeClock(), noRetries);
    Array.from({ length: 100 }, () => budgets.getBudget('history', 'r1').addRequest(0.2));

    // Four fifths of 0.2 x 100 + 60 / 3.
    expect(takeRetries(budgets, 100)).toBe(32);
  });

  it('should count the retries of the other hosts of the failure domain', () => {
    const budgets = createBudgets(new FakeClock(), { requests: 0, retries: 10, hosts: 3 });

    expect(takeRetries(budgets, 100)).toBe(6);
    expect(budgets.getBudget('history', 'r1').hasRetry()).toBe(false);
  });

  it('should report the used part of the budget as scarcity, from 0 to 1', () => {
    const budgets = createBudgets(new FakeClock(), noRetries);
    const budget = budgets.getBudget('history', 'r1');
    const before = budget.readScarcity();
    takeRetries(budgets, 8);

    expect([before, budget.readScarcity()]).toEqual([0, 0.5]);
    takeRetries(budgets, 100);
    expect(budget.readScarcity()).toBe(1);
  });

  it('should allow retries again when the window has passed', async () => {
    const clock = new FakeClock();
    const budgets = createBudgets(clock, noRetries);
    takeRetries(budgets, 100);

    await clock.advanceBy(10_500);

    expect(takeRetries(budgets, 100)).toBe(16);
  });

  // Guards against an excess that logs can't explain: what each decision was based on.
  it('should log what each decision was based on', () => {
    const fields: (LogFields | undefined)[] = [];
    const log = new SilentLog();
    log.info = (_message: string, values?: LogFields) => fields.push(values);
    const budgets = createBudgets(new FakeClock(), { requests: 7, retries: 13, hosts: 4 }, log);

    takeRetries(budgets, 5);

    expect(fields.map((values) => values?.isTaken)).toEqual([true, true, true, true, false]);
    expect(fields.at(-1)).toEqual({
      ...{ requestId: 'r1', service: 'history', isTaken: false, allowed: 17.1 },
      ...{ ownRequests: 0, ownRetries: 4, otherRequests: 7, otherRetries: 13, otherHosts: 4 },
    });
  });

  it('should report the requests and retries that this host counted', () => {
    const budgets = createBudgets(new FakeClock(), noRetries);
    budgets.getBudget('history', 'r1').addRequest(0.2);
    budgets.getBudget('history', 'r1').takeRetry();
    budgets.getBudget('kilns', 'r1').hasRetry();

    expect(budgets.readOwnCounts()).toEqual({ history: { requests: 1, retries: 1 } });
  });
});
