import DomainRetryBudgets from '../../src/application/fleet/DomainRetryBudgets.ts';
import type RequestRank from '../../src/domain/admission/RequestRank.ts';
import type { RetryUse } from '../../src/domain/admission/RetryRank.ts';
import type { PeerRetryBalance } from '../../src/application/fleet/PeerActivities.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';
import SilentLog from '../fixtures/SilentLog.ts';

/** Requests of one kind in one failure domain. */
export interface RefusedKind {
  readonly name: string;
  readonly perSecond: number;
  readonly rank?: RequestRank;
  /** What a served request is worth to its caller. */
  readonly value: number;
  readonly use?: RetryUse;
}

/** A time in which all upstreams of a service refuse requests although they have free slots. */
export interface RefusalLoad {
  readonly kinds: readonly RefusedKind[];
  readonly hosts: number;
  /** Retries beyond the share that the whole fleet has, in three failure domains. */
  readonly extra: number;
  readonly refusedShare: number;
  readonly faultMs: number;
  readonly seed: number;
}

/** Results by name of the kind, and the value of all served requests. */
export interface RefusalResult {
  readonly served: Readonly<Record<string, number>>;
  readonly value: number;
  readonly retries: number;
}

const service = 'history';
const stepMs = 20;
const calmMs = 3000;
// What hosts know of each other's retries is up to this old.
const exchangeMs = 100;

/** Creates the budgets of the hosts of one failure domain, which lend each other retries. */
function createBudgets({ hosts, extra }: RefusalLoad, clock: FakeClock) {
  const budgets: DomainRetryBudgets[] = [];
  const reports: { left: number; used: number }[] = [];
  const readOthers = (own: number): PeerRetryBalance => {
    const others = reports.filter((_report, index) => index !== own);
    const sum = (key: 'left' | 'used') => others.reduce((total, report) => total + report[key], 0);
    return { used: sum('used'), left: sum('left'), hosts: others.length };
  };
  const borrowRetry = async (own: number): Promise<void> => {
    const lenders = reports.map(({ left }, index) => ({ left, index }));
    lenders.sort((first, second) => second.left - first.left);
    lenders.slice(0, 12).forEach(({ index }) => {
      const missing = budgets[own]?.computeMissing(service) ?? 0;
      const loan = index === own ? undefined : budgets[index]?.lendRetries(service, missing);
      if (loan && loan.retries > 0) budgets[own]?.addCredit(service, loan);
    });
  };
  Array.from({ length: hosts }, (_, own) =>
    budgets.push(
      new DomainRetryBudgets({
        ...{ clock, log: new SilentLog(), share: 0.2, extra, windowMs: 10_000 },
        ...{ failureDomains: 3, isFirstStart: true, countHosts: () => hosts },
        readOthers: () => readOthers(own),
        borrowRetry: () => borrowRetry(own),
      }),
    ),
  );
  const exchange = (): void => {
    const balances = budgets.map((each) => each.readBalances()[service] ?? { left: 0, used: 0 });
    reports.splice(0, reports.length, ...balances);
  };
  return { budgets, exchange };
}

/** Runs the load on the budgets of entry hosts; hosts get uneven shares of the requests. */
export default async function runRefusalLoad(load: RefusalLoad): Promise<RefusalResult> {
  const { kinds, faultMs, refusedShare } = load;
  const clock = new FakeClock();
  const start = clock.now();
  const random = new SeededRandom(load.seed);
  const { budgets, exchange } = createBudgets(load, clock);
  const counts = new Map(kinds.map(({ name }) => [name, { requests: 0, served: 0 }]));
  let retries = 0;
  // Hosts with a low index get several times the requests of those with a high one.
  const drawHost = (): number => Math.floor(budgets.length * random.next() ** 1.5);
  const isFaulty = (): boolean => clock.now() >= start + calmMs;
  async function sendRequest({ name, rank, use = 'in_time' }: RefusedKind): Promise<void> {
    const budget = budgets[drawHost()]?.getBudget(service, 'request', rank);
    budget?.addRequest(0.2);
    let isServed = !isFaulty() || random.next() >= refusedShare;
    while (!isServed && (await budget?.takeRetry(use)) !== undefined) {
      retries += 1;
      isServed = random.next() >= refusedShare;
    }
    const count = counts.get(name);
    if (!count || !isFaulty()) return;
    count.requests += 1;
    count.served += isServed ? 1 : 0;
  }
  for (let atMs = 0; atMs < calmMs + faultMs; atMs += stepMs) {
    if (atMs % exchangeMs === 0) exchange();
    const arrived = kinds.flatMap((kind) => {
      const expected = (kind.perSecond * stepMs) / 1000;
      const count = Math.floor(expected + random.next());
      return Array.from({ length: count }, () => kind);
    });
    await Promise.all(arrived.map(sendRequest));
    await clock.advanceBy(stepMs);
  }
  const rows = kinds.map(({ name, value }) => ({ name, value, ...counts.get(name) }));
  return {
    served: Object.fromEntries(
      rows.map(({ name, requests = 1, served = 0 }) => [name, served / requests]),
    ),
    value: rows.reduce((sum, { value, served = 0 }) => sum + value * served, 0),
    retries,
  };
}
