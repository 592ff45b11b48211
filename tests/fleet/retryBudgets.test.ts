import { describe, expect, it } from 'vitest';

import DomainRetryBudgets from '../../src/application/fleet/DomainRetryBudgets.ts';
import type { RetryCounts } from '../../src/domain/requests/RetryWindow.ts';
import FakeClock from '../fixtures/FakeClock.ts';

function createBudgets(clock: FakeClock, others: RetryCounts): DomainRetryBudgets {
  return new DomainRetryBudgets({
    clock,
    share: 0.2,
    extra: 60,
    windowMs: 10_000,
    failureDomains: 3,
    readOthers: () => others,
  });
}

describe('retries of a failure domain', () => {
  const nobody = { requests: 0, retries: 0 };

  function countRetries(budgets: DomainRetryBudgets, tries: number): number {
    const budget = budgets.getBudget('history');
    return Array.from({ length: tries }, () => budget.takeRetry()).filter(Boolean).length;
  }

  // Guards against retries of all hosts together beyond the bound of the service.
  it('should allow a host its domain has to itself the part of the domain', () => {
    const budgets = createBudgets(new FakeClock(), nobody);
    Array.from({ length: 100 }, () => budgets.getBudget('history').addRequest(0.2));

    // Four fifths of 0.2 x 100 + 60 / 3.
    expect(countRetries(budgets, 100)).toBe(32);
  });

  it('should count the retries of the other hosts of the domain', () => {
    const budgets = createBudgets(new FakeClock(), { requests: 0, retries: 10 });

    expect(countRetries(budgets, 100)).toBe(6);
    expect(budgets.getBudget('history').hasRetry()).toBe(false);
  });

  it('should tell how scarce the retries of the domain are', () => {
    const budgets = createBudgets(new FakeClock(), nobody);
    const budget = budgets.getBudget('history');
    const before = budget.readScarcity();
    countRetries(budgets, 8);

    expect([before, budget.readScarcity()]).toEqual([0, 0.5]);
    countRetries(budgets, 100);
    expect(budget.readScarcity()).toBe(1);
  });

  it('should allow retries again when the window has passed', async () => {
    const clock = new FakeClock();
    const budgets = createBudgets(clock, nobody);
    countRetries(budgets, 100);

    await clock.advanceBy(10_500);

    expect(countRetries(budgets, 100)).toBe(16);
  });

  it('should tell the other hosts what this one counted', () => {
    const budgets = createBudgets(new FakeClock(), nobody);
    budgets.getBudget('history').addRequest(0.2);
    budgets.getBudget('history').takeRetry();
    budgets.getBudget('kilns').hasRetry();

    expect(budgets.readOwn()).toEqual({ history: { requests: 1, retries: 1 } });
  });
});
