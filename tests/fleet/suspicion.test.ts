import { describe, expect, it } from 'vitest';

import SuspicionTracker from '../../src/domain/detection/SuspicionTracker.ts';
import type { SuspicionKind } from '../../src/domain/detection/SuspicionTracker.ts';
import computeCosts from '../../src/domain/requests/computeCosts.ts';
import LowestCostBalancer from '../../src/domain/requests/LowestCostBalancer.ts';
import type UsableUpstream from '../../src/domain/requests/UsableUpstream.ts';
import { createUpstream } from '../fixtures/createRecords.ts';

const decayMs = 9000;

function createSuspicion(kind: SuspicionKind, incarnation = 1) {
  return { upstream: 'u1', incarnation, kind };
}

describe('risk of upstreams', () => {
  it('should fade evenly after a reset', () => {
    const tracker = new SuspicionTracker({ decayMs });
    tracker.recordSuccess('u1', 0, 1000);
    tracker.addSuspicion(createSuspicion('broken'), 1000);

    const risks = [1000, 4000, 7000].map((now) => tracker.getRisk('u1', 1, now));

    expect(risks.map((risk) => Math.round(risk * 100))).toEqual([100, 67, 33]);
  });

  // Guards against losing a request at each upstream that nobody has used for a while.
  it('should grow while an upstream is not used, and end with a success at another host', () => {
    const tracker = new SuspicionTracker({ decayMs });
    tracker.recordSuccess('u1', 0, 0);
    const unused = tracker.getRisk('u1', 1, decayMs);

    tracker.recordRecovery('u1', decayMs);

    expect(unused).toBeCloseTo(0.3);
    expect(tracker.getRisk('u1', 1, decayMs)).toBe(0);
  });

  // Guards against new upstreams that never get a request.
  it('should be zero for an upstream that nobody has tried', () => {
    const tracker = new SuspicionTracker({ decayMs });

    expect(tracker.getRisk('u1', 1, 50_000)).toBe(0);
  });

  // Pattern: sound upstreams lose an answer now and then. Guards against hosts that stay away from
  // one while others get good answers from it.
  it('should fall with good answers that other hosts got after the suspicion', () => {
    const tracker = new SuspicionTracker({ decayMs });
    tracker.addSuspicion(createSuspicion('broken'), 1000, 'other');

    Array.from({ length: 5 }).forEach(() => tracker.recordRecovery('u1', 1000));

    expect(tracker.getRisk('u1', 1, 1000)).toBeCloseTo(0.55 ** 5);
  });

  // Pattern: high load, where every upstream is overdue. Guards against sound upstreams that look
  // as bad as those that reset requests.
  it('should stay below that of a reset by any number of overdue requests', () => {
    const tracker = new SuspicionTracker({ decayMs });
    Array.from({ length: 20 }).forEach(() =>
      tracker.addSuspicion(createSuspicion('overdue'), 1000, 'other'),
    );
    const overdue = tracker.getRisk('u1', 1, 1000);
    tracker.addSuspicion(createSuspicion('broken'), 1000);

    expect([overdue, tracker.getRisk('u1', 1, 1000)]).toEqual([0.5, 1]);
  });

  // Pattern: links between some hosts and an upstream are cut one way. Guards against a host that
  // tries its own bad link again because others get answers.
  it.each(['unreachable', 'silent'] as const)(
    'should fall with own good answers only when this host found the upstream %s',
    (kind) => {
      const tracker = new SuspicionTracker({ decayMs });
      tracker.addSuspicion(createSuspicion(kind), 1000);

      tracker.recordRecovery('u1', 1000);
      const before = tracker.getRisk('u1', 1, 1000);
      tracker.recordSuccess('u1', 900, 1000);

      expect([before, tracker.getRisk('u1', 1, 1000)]).toEqual([1, 0.55]);
    },
  );

  // Pattern: an upstream that is gone for good, and forty hosts that each find out by themselves.
  it('should grow with each connection that other hosts could not open', () => {
    const tracker = new SuspicionTracker({ decayMs });
    tracker.recordSuccess('u1', 0, 1000);

    const isNew = [3000, 3000, 3000].map((now) =>
      tracker.addSuspicion(createSuspicion('unreachable'), now, 'other'),
    );

    expect(isNew).toEqual([true, true, true]);
    expect(tracker.getRisk('u1', 1, 3000)).toBe(1);
  });

  // Guards against a host with one bad link that keeps all others away from a good upstream.
  it('should not count a connection that another host could not open while answers come', () => {
    const tracker = new SuspicionTracker({ decayMs });
    tracker.recordSuccess('u1', 0, 1000);

    const isNew = tracker.addSuspicion(createSuspicion('unreachable'), 1000, 'other');

    expect(isNew).toBe(false);
    expect(tracker.getRisk('u1', 1, 1000)).toBe(0);
  });

  it('should not hold the past of an earlier run against a new one', () => {
    const tracker = new SuspicionTracker({ decayMs });
    tracker.addSuspicion(createSuspicion('broken', 1), 1000);

    const isLate = tracker.addSuspicion(createSuspicion('broken', 2), 1100);
    const isOld = tracker.addSuspicion(createSuspicion('broken', 1), 1200);

    expect([isLate, isOld]).toEqual([true, false]);
    expect(tracker.getRisk('u1', 3, 1300)).toBe(0);
  });

  it('should fall with good answers to requests that were sent after the suspicion only', () => {
    const tracker = new SuspicionTracker({ decayMs });
    tracker.addSuspicion(createSuspicion('broken'), 1000);

    tracker.recordSuccess('u1', 900, 1000);
    const before = tracker.getRisk('u1', 1, 1000);
    tracker.recordSuccess('u1', 1100, 1000);

    expect(before).toBe(1);
    expect(tracker.getRisk('u1', 1, 1000)).toBeCloseTo(0.55);
  });
});

interface Pattern {
  readonly name: string;
  readonly domain: string;
  readonly load: number;
  readonly risk: number;
}

describe('choice by cost', () => {
  // Answers of 5 KB, as large as bookings' answers.
  function choose(patterns: readonly Pattern[], retryScarcity = 1): string | undefined {
    const byName = new Map(patterns.map((pattern) => [pattern.name, pattern]));
    const candidates: UsableUpstream[] = patterns.map(({ name, domain }) => ({
      weight: 1,
      record: createUpstream({ upstream: name, failureDomain: domain, slots: 4 }),
    }));
    const balancer = new LowestCostBalancer({
      readCosts: () => computeCosts({ otherDomainPrice: 0.25, answerBytes: 5000, retryScarcity }),
      readRisk: ({ record }) => byName.get(record.upstream)?.risk ?? 0,
      loadHalfLifeMs: 300,
    });
    const chosen = balancer.chooseUpstream({
      candidates,
      readLoad: (upstream) => ({
        inFlight: byName.get(upstream)?.load ?? 0,
        reportedLoad: 0,
        reportedAt: 0,
      }),
      now: 1000,
      random: () => 0,
      failureDomain: 'north',
    });
    return chosen?.record.upstream;
  }

  const near = { name: 'near', domain: 'north', load: 0, risk: 0 };
  const far = { name: 'far', domain: 'south', load: 0, risk: 0 };

  it.each([
    ['a busy one of the own domain over an idle one of another', { ...near, load: 6 }, 'near'],
    ['another domain over a queue that is about to shed', { ...near, load: 10 }, 'far'],
    ['another domain over a sure failure', { ...near, risk: 1 }, 'far'],
    ['the own domain over a small risk', { ...near, risk: 0.3 }, 'near'],
  ])('should choose %s', (_title, pattern, expected) => {
    expect(choose([pattern, far])).toBe(expected);
  });

  // Pattern: all upstreams of a service turn bad at once. Guards against refusing everything.
  it('should choose the least risky one when all are bad', () => {
    const bad = [0.9, 0.6, 1].map((risk, index) => ({ ...near, name: `n${index}`, risk }));

    expect(choose(bad)).toBe('n1');
  });

  // Pattern: a look-up may be repeated, so a risk is worth less than a crossing.
  it('should risk a retry rather than cross', () => {
    expect(choose([{ ...near, risk: 0.9 }, far], 0)).toBe('near');
  });

  // Pattern: many look-ups meet bad upstreams at once, until no retry is left for the others.
  it('should avoid a risk like that of a lost request when retries run short', () => {
    expect(choose([{ ...near, risk: 0.9 }, far], 0.8)).toBe('far');
    expect(
      choose(
        [
          { ...near, load: 3, risk: 0.9 },
          { ...near, name: 'busy', load: 6 },
        ],
        0.7,
      ),
    ).toBe('busy');
  });

  // Pattern: all sound upstreams are full and the others were bad some seconds ago.
  it('should try an upstream that was bad before a request is shed', () => {
    const full = [0, 1, 2].map((index) => ({ ...near, name: `full${index}`, load: 11 }));

    expect(choose([...full, { ...near, name: 'rested', risk: 0.45 }])).toBe('rested');
  });

  it('should choose nothing when there is nothing', () => {
    expect(choose([])).toBeUndefined();
  });
});
