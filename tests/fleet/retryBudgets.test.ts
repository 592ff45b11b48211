import { beforeEach, describe, expect, it } from 'vitest';

import DomainRetryBudgets from '../../src/application/fleet/DomainRetryBudgets.ts';
import type { LogFields } from '../../src/ports/Log.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const windowMs = 10_000;
// Until then, an earlier process of the host may have used its part.
const openMs = 12_000;

describe('DomainRetryBudgets', () => {
  let clock: FakeClock;
  let budgets: DomainRetryBudgets;
  let others: { used: number; left: number; hosts: number };
  let domainSize: number;
  /** What other hosts lend when this one asks. */
  let loan: number;
  let lines: (LogFields | undefined)[];

  function createBudgets(isFirstStart: boolean, log = new SilentLog()): DomainRetryBudgets {
    return new DomainRetryBudgets({
      ...{ clock, log, isFirstStart, share: 0.2, extra: 60, windowMs, failureDomains: 3 },
      countHosts: () => domainSize,
      readOthers: () => others,
      borrowRetry: async (service) => {
        budgets.addCredit(service, { retries: loan, until: clock.now() + 500 });
      },
    });
  }

  beforeEach(() => {
    clock = new FakeClock();
    others = { used: 0, left: 0, hosts: 0 };
    domainSize = 4;
    loan = 0;
    lines = [];
    const log = new SilentLog();
    log.info = (_message: string, fields?: LogFields) => lines.push(fields);
    budgets = createBudgets(false, log);
  });

  async function takeRetries(calls: number): Promise<number> {
    const budget = budgets.getBudget('history', 'r1');
    const taken = await Promise.all(
      Array.from({ length: calls }, () => budget.takeRetry('in_time')),
    );
    return taken.filter((sendBy) => sendBy !== undefined).length;
  }

  function addRequests(count: number): void {
    const budget = budgets.getBudget('history', 'r1');
    Array.from({ length: count }, () => budget.addRequest(0.2));
  }

  // Guards against hosts that hear no others and use the budget of the whole failure domain each.
  it('should let a host that hears no other one use its own part', async () => {
    await clock.advanceBy(openMs);

    // 60 / 3 failure domains / 4 hosts.
    expect(await takeRetries(100)).toBe(5);
  });

  it('should let the requests of a host earn retries', async () => {
    await clock.advanceBy(openMs);
    addRequests(100);

    // In addition, 0.2 x 100 for 10 of the 12.75 s in which the retries of a window are earned.
    expect(await takeRetries(100)).toBe(5 + 15);
  });

  // Guards against a host that was paused and sends a retry whose window has passed meanwhile.
  it('should allow a retry for half a second', async () => {
    await clock.advanceBy(openMs);

    expect(await budgets.getBudget('history', 'r1').takeRetry('in_time')).toBe(clock.now() + 500);
  });

  // Guards against a restart that makes room for the retries of the earlier process once more.
  it('should keep the part of a host that has just started closed', async () => {
    const atStart = await takeRetries(100);
    await clock.advanceBy(11_000);
    const later = await takeRetries(100);
    await clock.advanceBy(1000);

    expect([atStart, later, await takeRetries(100)]).toEqual([0, 0, 5]);
  });

  it('should open the part at once when no process of the fleet has run before', async () => {
    budgets = createBudgets(true);

    expect(await takeRetries(100)).toBe(5);
  });

  it('should open the part again when its retries have left the window', async () => {
    await clock.advanceBy(openMs);
    const first = await takeRetries(100);
    await clock.advanceBy(windowMs + 1500);
    const early = await takeRetries(100);
    await clock.advanceBy(500);

    expect([first, early, await takeRetries(100)]).toEqual([5, 0, 5]);
  });

  // Guards against retries that are saved up over several windows and used in one.
  it('should drop what requests earned and was not used', async () => {
    addRequests(100);
    await clock.advanceBy(2100);

    expect(await takeRetries(100)).toBe(0);
  });

  it('should use what other hosts lend', async () => {
    loan = 1;

    expect(await takeRetries(1)).toBe(1);
  });

  it('should give to others only what is left, and count it as used', async () => {
    await clock.advanceBy(openMs);
    const lent = [3, 3, 3].map((retries) => budgets.lendRetries('history', retries).retries);

    expect(lent).toEqual([3, 2, 0]);
    expect(await takeRetries(100)).toBe(0);
  });

  it('should make the part smaller when the failure domain has more hosts', async () => {
    await clock.advanceBy(openMs);
    domainSize = 10;

    expect(await takeRetries(100)).toBe(2);
  });

  it('should report the used part of all retries as scarcity, from 0 to 1', async () => {
    await clock.advanceBy(openMs);
    const budget = budgets.getBudget('history', 'r1');
    const unused = budget.readScarcity();
    others = { used: 1, left: 2, hosts: 3 };
    await takeRetries(2);
    const halfUsed = budget.readScarcity();
    await takeRetries(3);
    others = { used: 3, left: 0, hosts: 3 };

    expect([unused, halfUsed, budget.readScarcity()]).toEqual([0, 3 / 8, 1]);
  });

  // Guards against an excess that logs can't explain: what each decision was based on.
  it('should log what each decision was based on', async () => {
    await clock.advanceBy(openMs);
    domainSize = 20;
    others = { used: 13, left: 0.5, hosts: 4 };
    await takeRetries(2);

    expect(lines).toEqual([
      {
        ...{ requestId: 'r1', service: 'history', isTaken: true, isOwn: true },
        ...{ used: 0, left: 1, otherLeft: 0.5, otherHosts: 4 },
      },
      {
        ...{ requestId: 'r1', service: 'history', isTaken: false, isOwn: false },
        ...{ used: 1, left: 0, otherLeft: 0.5, otherHosts: 4 },
      },
    ]);
  });

  // Guards against a loan that takes from other hosts what they keep for more urgent requests.
  it('should neither borrow nor take a retry that is kept for a more urgent rank', async () => {
    loan = 10;
    const takeRanked = (route: number): Promise<number | undefined> =>
      budgets.getBudget('history', 'r1', { team: Infinity, route }).takeRetry('in_time');
    const urgent = await Promise.all(Array.from({ length: 10 }, () => takeRanked(0)));
    loan = 1;

    expect(urgent.every((sendBy) => sendBy !== undefined)).toBe(true);
    expect(await takeRanked(1)).toBeUndefined();
    expect(lines.at(-1)).toMatchObject({ isTaken: false, isReserved: true, routePriority: 1 });
    expect(lines.at(-1)?.reserved).toBeGreaterThan(1);
  });

  it('should report what is used and left, and forget services without requests', async () => {
    await clock.advanceBy(openMs);
    await takeRetries(2);
    const balances = budgets.readBalances();
    await clock.advanceBy(windowMs + 2000);

    expect(balances).toEqual({ history: { used: 2, left: 3 } });
    expect(budgets.readBalances()).toEqual({});
  });
});
