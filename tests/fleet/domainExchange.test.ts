import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import SuspicionRelay from '../../src/application/fleet/SuspicionRelay.ts';
import SuspicionTracker from '../../src/domain/detection/SuspicionTracker.ts';
import type { RetryAmount } from '../../src/domain/requests/RetryAccount.ts';
import createExchange from '../fixtures/createExchange.ts';
import createRetryLedger from '../fixtures/createRetryLedger.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import FakeDatagrams from '../fixtures/FakeDatagrams.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const suspicion = { upstream: 'u1', incarnation: 1, kind: 'broken' } as const;

describe('DomainExchange', () => {
  let clock: FakeClock;
  let datagrams: FakeDatagrams;
  let stopping: AbortController;
  let tasks: Promise<void>[];

  beforeEach(() => {
    clock = new FakeClock();
    datagrams = new FakeDatagrams();
    stopping = new AbortController();
    tasks = [];
  });

  afterEach(async () => {
    stopping.abort();
    await Promise.all(tasks);
  });

  function startHost(
    ownAddress: string,
    peers: readonly string[],
    relay?: string,
    ledger = createRetryLedger(() => ({ kilns: { used: 1, left: 0.7 } })),
  ) {
    const suspicions = new SuspicionTracker({ decayMs: 9000 });
    const exchange = createExchange(datagrams, {
      ...{ clock, ownAddress, suspicions, listPeers: () => peers, findRelay: () => relay },
      ledger,
    });
    tasks.push(exchange.run(stopping.signal));
    return { exchange, suspicions };
  }

  // Guards against losing a second request to an upstream that already failed at another host.
  it('should send a suspicion to its peers immediately and without a control host', () => {
    const first = startHost('a', ['a', 'b']);
    const second = startHost('b', ['a', 'b']);

    first.exchange.reportSuspicion(suspicion, 'request');

    expect(second.suspicions.getRisk('u1', 1, clock.now())).toBe(1);
  });

  // In a rolling restart every host starts without suspicions. Guards against a new host that loses
  // requests to upstreams which its peers already avoid.
  it('should send only the suspicions of upstreams that are probably bad to a host that starts', async () => {
    const first = startHost('a', ['a', 'b']);
    first.exchange.reportSuspicion(suspicion, 'request');
    first.exchange.reportSuspicion({ ...suspicion, upstream: 'u2', kind: 'faulty' }, 'request');
    await clock.advanceBy(500);
    const second = startHost('b', ['a', 'b']);

    second.exchange.requestSuspicions();

    const risks = ['u1', 'u2'].map((name) => second.suspicions.getRisk(name, 1, clock.now()));
    expect(risks).toEqual([1, 0]);
  });

  // Guards against answers of a whole failure domain that fill the link of a host that starts.
  it('should ask only eight peers for their suspicions', () => {
    const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j', 'k'];
    const hosts = names.map((name) => startHost(name, names));

    hosts.at(-2)?.exchange.requestSuspicions();

    const asked = datagrams.sent.filter(({ message }) => message.asksSuspicions);
    expect(asked.map(({ to }) => to).join('')).toBe('kabcdefg');
    expect(datagrams.sent).toHaveLength(16);
  });

  it('should count the open requests and retries of the other hosts', async () => {
    const first = startHost('a', ['a', 'b']);
    const second = startHost('b', ['a', 'b']);

    first.exchange.recordStart('u1');
    first.exchange.recordStart('u1');
    await clock.advanceBy(50);
    const openRequests = second.exchange.countInFlight('u1');
    first.exchange.recordEnd('u1');
    first.exchange.recordEnd('u1');
    await clock.advanceBy(500);

    expect([openRequests, second.exchange.countInFlight('u1')]).toEqual([2, 0]);
    expect(second.exchange.readRetries('kilns')).toEqual({ used: 1, left: 0.7, hosts: 1 });
  });

  // Hosts report their open requests repeatedly. Guards against sums that drift with each report.
  it('should count the open requests of several hosts correctly after many changes', async () => {
    const names = ['a', 'b', 'c'];
    const hosts = names.map((name) => startHost(name, names));
    for (const round of [1, 2, 3, 4]) {
      hosts.forEach(({ exchange }, index) => {
        exchange.recordStart(`u${(round + index) % 2}`);
        exchange.recordStart('u2');
        exchange.recordEnd('u2');
      });
      await clock.advanceBy(500);
    }

    const counts = ['u0', 'u1', 'u2'].map((name) =>
      hosts.map(({ exchange }) => exchange.countInFlight(name)),
    );

    expect(counts).toEqual([
      [6, 6, 6],
      [6, 6, 6],
      [0, 0, 0],
    ]);
  });

  // Guards against upstream slots that stay occupied for good by the requests of a killed host.
  it('should drop the open requests of a host that stops sending', async () => {
    const first = startHost('a', ['a', 'b']);
    const second = startHost('b', ['a', 'b']);
    first.exchange.recordStart('u1');
    await clock.advanceBy(500);
    const before = second.exchange.countInFlight('u1');

    datagrams.openSocket('b');
    await clock.advanceBy(3000);

    expect([before, second.exchange.countInFlight('u1')]).toEqual([1, 0]);
  });

  it('should resend the counts of open requests to a peer that missed the first datagram', async () => {
    const first = startHost('a', ['a', 'b']);
    first.exchange.recordStart('u1');
    await clock.advanceBy(500);

    const late = startHost('b', ['a', 'b']);
    await clock.advanceBy(1100);

    expect(late.exchange.countInFlight('u1')).toBe(1);
  });

  describe('loans of retries', () => {
    function startLender(ownAddress: string, left: number) {
      const asked: number[] = [];
      const ledger = {
        ...createRetryLedger(() => ({ kilns: { used: 1, left } })),
        lendRetries: (_service: string, retries: number) => {
          asked.push(retries);
          return { retries: Math.min(retries, left), until: clock.now() + 300 };
        },
      };
      return { asked, ...startHost(ownAddress, ['a', 'b', 'c'], undefined, ledger) };
    }

    function startBorrower() {
      const credits: RetryAmount[] = [];
      const ledger = {
        ...createRetryLedger(),
        computeMissing: () => 0.8 - credits.reduce((sum, { retries }) => sum + retries, 0),
        addCredit: (_service: string, credit: RetryAmount) => credits.push(credit),
      };
      return { credits, ...startHost('a', ['a', 'b', 'c'], undefined, ledger) };
    }

    it('should come from the hosts that have most left', async () => {
      const { exchange, credits } = startBorrower();
      const lenders = [startLender('b', 0.3), startLender('c', 0.6)];
      lenders.forEach((lender) => lender.exchange.recordStart('u1'));
      await clock.advanceBy(500);

      await exchange.borrowRetry('kilns');

      expect(lenders.map(({ asked }) => asked)).toEqual([[expect.closeTo(0.2)], [0.6]]);
      expect(credits.map(({ until }) => until - clock.now())).toEqual([300, 300]);
    });

    // Guards against the use of retries that their lender counts as used up by then.
    it('should end with the time that the lender gave, from the request on', async () => {
      const { exchange, credits } = startBorrower();
      const { asked } = startLender('b', 1);
      const { deliver } = FakeDatagrams.prototype;
      datagrams.deliver = (to, content, from) => {
        const deliverNow = (): void => deliver.call(datagrams, to, content, from);
        if (to === 'a') tasks.push(clock.sleepUntil(clock.now() + 200).then(deliverNow));
        else deliverNow();
      };

      const borrowing = exchange.borrowRetry('kilns');
      await clock.advanceBy(200);
      await borrowing;

      expect(asked).toEqual([0.25]);
      expect(credits.map(({ until }) => until - clock.now())).toEqual([100]);
    });

    // Guards against loans to an earlier process of the host, and to a request that was made up.
    it('should be taken once, from the host that was asked', async () => {
      const { exchange, credits } = startBorrower();
      const answers: (readonly [string, unknown])[] = [];
      const { deliver } = FakeDatagrams.prototype;
      startLender('b', 1);
      datagrams.deliver = (to, content, from) => {
        if (to === 'a') answers.push([from, content]);
        else deliver.call(datagrams, to, content, from);
      };
      const borrowing = exchange.borrowRetry('kilns');
      await clock.advanceBy(100);
      await borrowing;
      const [, answer] = answers[0] ?? [];

      ['c', 'b', 'b'].forEach((from) => deliver.call(datagrams, 'a', answer, from));

      expect(credits.map(({ retries }) => retries)).toEqual([0.25]);
    });

    it('should not be asked for again at once when the hosts had too little', async () => {
      const { exchange } = startBorrower();
      const { asked } = startLender('b', 0);

      for (const waitMs of [0, 300, 300]) {
        await clock.advanceBy(waitMs);
        const borrowing = exchange.borrowRetry('kilns');
        await clock.advanceBy(50);
        await borrowing;
      }

      expect(asked).toHaveLength(2);
    });
  });

  it('should ignore malformed datagrams and accept the next valid one', () => {
    const { suspicions } = startHost('a', ['a']);

    const { upstream, incarnation, kind } = suspicion;
    const malformed = [
      null,
      7,
      [],
      { s: [[1]] },
      { s: [[upstream, incarnation, 'unknown']] },
      { s: [[upstream, incarnation, kind]], u: [['u2', -1]] },
      { s: [[upstream, incarnation, kind]], r: { kilns: [1] } },
      { s: [[upstream, incarnation, kind]], q: [1, 'kilns', -1] },
      { s: [[upstream, incarnation, kind]], l: [1, 0.5] },
      { s: [[upstream, incarnation, kind]], n: 'many' },
    ];
    malformed.forEach((content) => datagrams.deliver('a', content, 'b'));
    const riskBefore = suspicions.getRisk('u1', 1, clock.now());
    datagrams.deliver('a', { s: [[upstream, incarnation, kind]] }, 'b');

    expect([riskBefore, suspicions.getRisk('u1', 1, clock.now())]).toEqual([0, 1]);
  });

  it('should forward only the first of two successive suspicions of an upstream to other failure domains', () => {
    const north = startHost('n1', ['n1'], 'nc');
    const south = startHost('s1', ['s1']);
    [
      ['nc', ['n1'], ['sc']],
      ['sc', ['s1'], ['nc']],
    ].forEach(([ownAddress, entryHosts, relays]) => {
      SuspicionRelay.startRelay({
        clock,
        log: new SilentLog(),
        socket: datagrams.openSocket(ownAddress as string),
        listRelays: () => relays as string[],
        listEntryHosts: () => entryHosts as string[],
      });
    });

    north.exchange.reportSuspicion(suspicion, 'request');
    north.exchange.reportSuspicion({ ...suspicion, incarnation: 2 }, 'request');

    expect(south.suspicions.getRisk('u1', 1, clock.now())).toBe(1);
    expect(datagrams.sent.filter(({ from, to }) => from === 'nc' && to === 'sc')).toHaveLength(1);
  });
});
