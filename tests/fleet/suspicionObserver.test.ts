import { afterEach, describe, expect, it } from 'vitest';

import SuspicionObserver from '../../src/application/fleet/SuspicionObserver.ts';
import SuspicionTracker from '../../src/domain/detection/SuspicionTracker.ts';
import type { AnswerClass } from '../../src/domain/requests/AttemptObservation.ts';
import createExchange from '../fixtures/createExchange.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import FakeDatagrams from '../fixtures/FakeDatagrams.ts';

describe('SuspicionObserver', () => {
  let stopping = new AbortController();

  afterEach(() => {
    stopping.abort();
    stopping = new AbortController();
  });

  function createObserver(clock: FakeClock, hasFreeSlot?: (upstream: string) => boolean) {
    const suspicions = new SuspicionTracker({ decayMs: 9000 });
    const exchange = createExchange(new FakeDatagrams(), {
      ...{ clock, ownAddress: 'a', suspicions, listPeers: () => [] },
    });
    const observer = new SuspicionObserver({
      clock,
      suspicions,
      exchange,
      findIncarnation: () => 1,
      ...(hasFreeSlot && { hasFreeSlot }),
    });
    const endRequest = (answerClass: AnswerClass, tookMs: number): void => {
      const endedAt = clock.now();
      observer.recordEnd('attempt', {
        ...{ service: 'history', upstream: 'u1', answerClass, reportedLoad: undefined },
        ...{ startedAt: endedAt - tookMs, endedAt, answerBytes: 100 },
      });
    };
    const readRisk = (upstream = 'u1'): number => suspicions.getRisk(upstream, 1, clock.now());
    return { endRequest, observer, readRisk };
  }

  // Callers set deadlines of 400 ms although answers take about as long. Guards against suspecting
  // a healthy upstream after each such timeout.
  it('should not suspect an upstream after a timeout shorter than its usual latency', () => {
    const { endRequest, readRisk } = createObserver(new FakeClock());
    endRequest('good', 420);

    endRequest('timed_out', 400);

    expect(readRisk()).toBe(0);
  });

  // Guards against an upstream that refuses whatever its load, looks idle and draws all requests,
  // and against suspecting a busy one.
  it('should suspect an upstream that refuses although it has a free slot', () => {
    const risks = [true, false].map((hasFreeSlot) => {
      const { endRequest, readRisk } = createObserver(new FakeClock(), () => hasFreeSlot);
      endRequest('good', 100);
      endRequest('shed', 2);
      return readRisk();
    });

    expect(risks).toEqual([0.12, 0]);
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

  // A service has bundles of 90 KB and look-ups of 1.5 KB. Guards against one price for both.
  it('should know the size of answers by operation', () => {
    const { observer } = createObserver(new FakeClock());
    const answer = (operation: string, answerBytes: number): void => {
      const names = { service: 'history', upstream: 'u1' };
      observer.recordStart({ ...names, operation, requestId: 'r', startedAt: 0, serviceTimes: 1 });
      const times = { startedAt: 0, endedAt: 100 };
      const end = { ...names, ...times, answerBytes, reportedLoad: undefined };
      observer.recordEnd('r', { ...end, answerClass: 'good' });
    };
    answer('bundle', 90_000);
    answer('look-up', 1500);

    const sizes = ['bundle', 'look-up', 'other'].map((each) =>
      observer.readAverageAnswerBytes(each),
    );
    expect(sizes).toEqual([90_000, 1500, undefined]);
  });

  describe('of overdue requests', () => {
    const usualMs = 200;

    /** Starts an observer that knows how long requests usually take. */
    async function startObserver() {
      const clock = new FakeClock();
      const created = createObserver(clock);
      const { observer } = created;
      observer.run(stopping.signal).catch(() => undefined);
      const start = (requestId: string, upstream: string, serviceTimes = 1): void =>
        observer.recordStart({
          ...{ requestId, service: 'history', operation: 'look up' },
          ...{ upstream, startedAt: clock.now(), serviceTimes },
        });
      const end = (
        requestId: string,
        upstream: string,
        [answerClass, startedAt]: readonly [AnswerClass, number],
      ): void =>
        observer.recordEnd(requestId, {
          ...{ service: 'history', upstream, answerClass, reportedLoad: undefined },
          ...{ startedAt, endedAt: clock.now(), answerBytes: 100 },
        });
      const runRequest = async (
        upstream: string,
        tookMs: number,
        answerClass: AnswerClass = 'good',
      ): Promise<void> => {
        const startedAt = clock.now();
        start('request', upstream);
        await clock.advanceBy(tookMs);
        end('request', upstream, [answerClass, startedAt]);
      };
      for (let index = 0; index < 20; index += 1) {
        await runRequest('u2', usualMs + 2 * index);
        await runRequest('u1', usualMs + 2 * index);
      }
      return { ...created, clock, start, end, runRequest };
    }

    // On Sinagbantay, one upstream in three hangs for seconds. Guards against sending it a request
    // of each host until the first of them has timed out.
    it('should suspect the upstream long before the deadline while others answer', async () => {
      const { clock, start, runRequest, readRisk } = await startObserver();
      start('hangs', 'u1');
      await clock.advanceBy(50);
      await runRequest('u2', usualMs);
      await clock.advanceBy(2.5 * usualMs - usualMs - 50);

      expect(readRisk()).toBeGreaterThan(0.65);
      expect(readRisk('u2')).toBeLessThan(0.05);
    });

    // Seen on Sinagbantay under load: healthy upstreams with queues were taken for hanging, and the
    // others got longer queues. Guards against suspecting an upstream that is only busy.
    it('should not take a queue for a hang', async () => {
      const { clock, start, end, runRequest, readRisk } = await startObserver();
      const startedAt = clock.now();
      start('known queue', 'u1', 3);
      await clock.advanceBy(50);
      await runRequest('u2', 2.5 * usualMs);
      const riskWithKnownQueue = readRisk();
      end('known queue', 'u1', ['good', startedAt]);
      start('goes on answering', 'u1');
      await runRequest('u1', usualMs);
      await runRequest('u2', 1.5 * usualMs);

      expect(riskWithKnownQueue).toBeLessThan(0.1);
      expect(readRisk()).toBeLessThan(0.4);
    });

    // Guards against a host with a bad link that suspects all upstreams.
    it('should not suspect the upstream itself while none answers', async () => {
      const { clock, start, readRisk } = await startObserver();
      start('first', 'u1');
      start('second', 'u2');
      await clock.advanceBy(3 * usualMs);

      expect(readRisk()).toBeLessThan(0.4);
    });

    // Guards against a host that was suspended or lacked processor time and then suspects all
    // upstreams.
    it('should not suspect an upstream when the host itself was late', async () => {
      const { clock, start, end, readRisk } = await startObserver();
      const startedAt = clock.now();
      start('open', 'u1');
      start('other', 'u2');
      clock.jumpTo(startedAt + 2000);
      end('other', 'u2', ['good', startedAt]);
      await clock.advanceBy(10);

      // Without a suspicion, the risk grows while an upstream is not used.
      expect(readRisk()).toBeLessThan(0.1);
    });

    // Where answers of sound upstreams are often long, a long one proves little.
    it('should count less where overdue requests are usually answered after all', async () => {
      const { clock, start, runRequest, readRisk } = await startObserver();
      for (let index = 0; index < 6; index += 1) await runRequest('u3', 3.2 * usualMs);
      for (let index = 0; index < 10; index += 1) await runRequest('u2', usualMs);
      start('open', 'u1');
      await runRequest('u2', usualMs);
      await clock.advanceBy(5 * usualMs);

      expect(readRisk()).toBeLessThan(0.4);
    });
  });
});
