import { describe, expect, it } from 'vitest';

import DomainExchange from '../../src/application/fleet/DomainExchange.ts';
import SuspicionObserver from '../../src/application/fleet/SuspicionObserver.ts';
import SuspicionTracker from '../../src/domain/detection/SuspicionTracker.ts';
import type { AnswerClass } from '../../src/domain/requests/AttemptObservation.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import FakeDatagrams from '../fixtures/FakeDatagrams.ts';
import SilentLog from '../fixtures/SilentLog.ts';

describe('suspicions of answers', () => {
  function createObserver(clock: FakeClock) {
    const suspicions = new SuspicionTracker({ decayMs: 9000 });
    const exchange = new DomainExchange({
      clock,
      log: new SilentLog(),
      socket: new FakeDatagrams().openSocket('a'),
      ownAddress: 'a',
      listPeers: () => [],
      findRelay: () => undefined,
      suspicions,
      readRetries: () => ({}),
    });
    const observer = new SuspicionObserver({
      clock,
      suspicions,
      exchange,
      findIncarnation: () => 1,
    });
    const end = (answerClass: AnswerClass, tookMs: number): void => {
      const endedAt = clock.now();
      observer.recordEnd('attempt', {
        ...{ service: 'history', upstream: 'u1', answerClass, reportedLoad: undefined },
        ...{ startedAt: endedAt - tookMs, endedAt, answerBytes: 100 },
      });
    };
    return { end, readRisk: () => suspicions.getRisk('u1', 1, clock.now()) };
  }

  // Pattern: callers with 400 ms for answers that take as long. Guards against sound upstreams that
  // look silent to their hosts.
  it('should not call an upstream silent that had less time than answers take', () => {
    const { end, readRisk } = createObserver(new FakeClock());
    end('good', 420);

    end('timed_out', 400);

    expect(readRisk()).toBe(0);
  });

  it('should call an upstream silent that had several times the usual time', () => {
    const { end, readRisk } = createObserver(new FakeClock());
    end('good', 420);

    end('timed_out', 1500);

    expect(readRisk()).toBe(1);
  });

  it('should call an upstream silent that gave no answer yet in two seconds', () => {
    const { end, readRisk } = createObserver(new FakeClock());

    end('timed_out', 2500);

    expect(readRisk()).toBe(1);
  });
});
