import { describe, expect, it } from 'vitest';

import DomainExchange from '../../src/application/fleet/DomainExchange.ts';
import SuspicionObserver from '../../src/application/fleet/SuspicionObserver.ts';
import SuspicionTracker from '../../src/domain/detection/SuspicionTracker.ts';
import type { AnswerClass } from '../../src/domain/requests/AttemptObservation.ts';
import createUpstreamStatements from '../fixtures/createUpstreamStatements.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import FakeDatagrams from '../fixtures/FakeDatagrams.ts';
import SilentLog from '../fixtures/SilentLog.ts';

describe('SuspicionObserver', () => {
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
      statements: createUpstreamStatements(),
      readRetries: () => ({}),
    });
    const observer = new SuspicionObserver({
      clock,
      suspicions,
      exchange,
      findIncarnation: () => 1,
    });
    const endRequest = (answerClass: AnswerClass, tookMs: number): void => {
      const endedAt = clock.now();
      observer.recordEnd('attempt', {
        ...{ service: 'history', upstream: 'u1', answerClass, reportedLoad: undefined },
        ...{ startedAt: endedAt - tookMs, endedAt, answerBytes: 100 },
      });
    };
    return { endRequest, readRisk: () => suspicions.getRisk('u1', 1, clock.now()) };
  }

  // Callers set deadlines of 400 ms although answers take about as long. Guards against suspecting
  // a healthy upstream after each such timeout.
  it('should not suspect an upstream after a timeout shorter than its usual latency', () => {
    const { endRequest, readRisk } = createObserver(new FakeClock());
    endRequest('good', 420);

    endRequest('timed_out', 400);

    expect(readRisk()).toBe(0);
  });

  it('should suspect an upstream after a timeout of several times its usual latency', () => {
    const { endRequest, readRisk } = createObserver(new FakeClock());
    endRequest('good', 420);

    endRequest('timed_out', 1500);

    expect(readRisk()).toBe(1);
  });

  it('should suspect an upstream that has never answered after a timeout of more than two seconds', () => {
    const { endRequest, readRisk } = createObserver(new FakeClock());

    endRequest('timed_out', 2500);

    expect(readRisk()).toBe(1);
  });
});
