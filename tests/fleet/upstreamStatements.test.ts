import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import type DomainExchange from '../../src/application/fleet/DomainExchange.ts';
import DomainGate from '../../src/application/fleet/DomainGate.ts';
import type AnswerStatements from '../../src/domain/statements/AnswerStatements.ts';
import type UpstreamStatements from '../../src/domain/statements/UpstreamStatements.ts';
import createExchange from '../fixtures/createExchange.ts';
import createUpstreamStatements from '../fixtures/createUpstreamStatements.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import FakeDatagrams from '../fixtures/FakeDatagrams.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const upstream = { upstream: 'u1', incarnation: 5 };
const earlier = { ...upstream, incarnation: 4 };
const later = { ...upstream, incarnation: 6 };
const nothing: AnswerStatements = {
  limit: { kind: 'absent' },
  pausedUntil: { kind: 'absent' },
  leaving: { kind: 'absent' },
};
const leaving: AnswerStatements = { ...nothing, leaving: { kind: 'stated', value: true } };

interface Host {
  readonly gate: DomainGate;
  readonly exchange: DomainExchange;
  readonly statements: UpstreamStatements;
}

describe('what upstreams state in their answers', () => {
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

  function startHost(ownAddress: string, findFailureDomain?: () => string | undefined): Host {
    const log = new SilentLog();
    const statements = createUpstreamStatements(findFailureDomain && { findFailureDomain });
    const exchange = createExchange(datagrams, {
      ...{ clock, ownAddress, statements, listPeers: () => ['a', 'b'] },
    });
    tasks.push(exchange.run(stopping.signal));
    const gate = new DomainGate({ clock, log, statements, exchange });
    return { gate, exchange, statements };
  }

  function reportPause({ gate }: Host, pausedMs: number, paused = upstream): void {
    const pausedUntil = { kind: 'stated', value: clock.now() + pausedMs } as const;
    gate.reportStatements(paused, { ...nothing, pausedUntil }, clock.now());
  }

  describe('leaving', () => {
    // Guards against each host of a failure domain that finds out with a request of its own.
    it('should keep all hosts of the domain from the upstream at once', () => {
      const [first, second] = [startHost('a'), startHost('b')];

      first.gate.reportStatements(upstream, leaving, clock.now());

      expect([first, second].map(({ gate }) => gate.decideAccess(upstream))).toEqual([
        'leaving',
        'leaving',
      ]);
      expect(second.gate.getFreeAt(upstream)).toBe(Infinity);
    });

    it('should be known to a host that starts', async () => {
      const first = startHost('a');
      first.gate.reportStatements(upstream, leaving, clock.now());
      await clock.advanceBy(1000);
      const starting = startHost('b');

      starting.exchange.requestSuspicions();

      expect(starting.gate.decideAccess(upstream)).toBe('leaving');
    });

    // Guards against an upstream that restarts under its name and address and never gets requests.
    it('should end with the incarnation, also for a message of an earlier one that is late', () => {
      const [first, second] = [startHost('a'), startHost('b')];

      first.gate.reportStatements(upstream, leaving, clock.now());
      first.gate.reportStatements(earlier, leaving, clock.now());

      expect([first, second].map(({ gate }) => gate.decideAccess(later))).toEqual(['open', 'open']);
      expect(second.gate.decideAccess(upstream)).toBe('leaving');
    });

    it('should not be withdrawn by an answer that does not state it', () => {
      const { gate } = startHost('a');
      gate.reportStatements(upstream, leaving, clock.now());

      gate.reportStatements(upstream, nothing, clock.now());

      expect(gate.decideAccess(upstream)).toBe('leaving');
    });

    it('should be forgotten when the upstream has left', async () => {
      let isKnown = true;
      const { gate, statements } = startHost('a', () => (isKnown ? 'north' : undefined));
      gate.reportStatements(upstream, leaving, clock.now());
      isKnown = false;
      await clock.advanceBy(2000);

      expect(statements.leavingCount).toBe(0);
    });
  });

  describe('pause', () => {
    // The upstream states it for the host that it refused; others may still have room there.
    it('should keep only this host from the upstream until it ends', async () => {
      const [first, second] = [startHost('a'), startHost('b')];
      reportPause(first, 1500);
      const accessAtOnce = [first, second].map(({ gate }) => gate.decideAccess(upstream));
      await clock.advanceBy(1499);
      const accessBeforeEnd = first.gate.decideAccess(upstream);
      await clock.advanceBy(1);

      expect(accessAtOnce).toEqual(['paused', 'open']);
      expect([accessBeforeEnd, first.gate.decideAccess(upstream)]).toEqual(['paused', 'open']);
    });

    // Answers overtake each other.
    it('should not be shortened by a later statement', async () => {
      const host = startHost('a');
      reportPause(host, 3000);
      reportPause(host, 500);
      host.gate.reportStatements(upstream, nothing, clock.now());
      await clock.advanceBy(2999);

      expect(host.gate.decideAccess(upstream)).toBe('paused');
    });

    it('should end with the incarnation', () => {
      const host = startHost('a');
      reportPause(host, 3000);

      expect(host.gate.decideAccess(later)).toBe('open');
      reportPause(host, 3000, later);
      reportPause(host, 9000, upstream);
      expect(host.gate.getFreeAt(later)).toBe(clock.now() + 3000);
    });

    // Guards against a host that was frozen while a request waited for its connection.
    it('should hold back a request for which the upstream was chosen before', () => {
      const host = startHost('a');
      const accessBefore = host.gate.decideAccess(upstream);
      reportPause(host, 1000);

      expect([accessBefore, host.gate.maySend(upstream)]).toEqual(['open', false]);
    });

    it('should be forgotten when it has ended', async () => {
      const { statements, ...host } = startHost('a');
      reportPause({ statements, ...host }, 500);
      const countBefore = statements.countPaused(clock.now());
      await clock.advanceBy(2000);

      expect([countBefore, statements.countPaused(clock.now())]).toEqual([1, 0]);
    });
  });

  it('should be kept together: limit, pause and leaving', () => {
    const host = startHost('a');
    const limit = { kind: 'stated', value: 1 } as const;
    host.gate.reportStatements(upstream, { ...nothing, limit }, clock.now());
    host.exchange.recordStart('u1');
    host.exchange.recordStart('u1');
    const limitedUntil = host.gate.getFreeAt(upstream);
    // A request that was counted under the limit may be sent.
    const [limited, maySend] = [host.gate.decideAccess(upstream), host.gate.maySend(upstream)];
    reportPause(host, 60_000);
    const paused = host.gate.decideAccess(upstream);
    const pausedUntil = host.gate.getFreeAt(upstream);
    host.gate.reportStatements(upstream, leaving, clock.now());

    expect([limited, maySend, paused]).toEqual(['limited', true, 'paused']);
    expect(limitedUntil).toBeGreaterThan(clock.now());
    expect(pausedUntil).toBe(clock.now() + 60_000);
    expect(host.gate.decideAccess(upstream)).toBe('leaving');
  });

  // Guards against a typing error of one upstream that takes it out of use, or lifts its limit.
  it('should be ignored when it can not be read', () => {
    const host = startHost('a');
    const limit = { kind: 'stated', value: 2 } as const;
    host.gate.reportStatements(upstream, { ...nothing, limit }, clock.now());
    const invalid = { kind: 'invalid', text: 'x' } as const;

    host.gate.reportStatements(
      upstream,
      { limit: invalid, pausedUntil: invalid, leaving: invalid },
      clock.now() + 1,
    );

    expect(host.gate.decideAccess(upstream)).toBe('open');
    expect(host.statements.hasLimit('u1')).toBe(true);
  });
});
