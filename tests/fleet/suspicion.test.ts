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

describe('SuspicionTracker', () => {
  it('should decay the risk linearly after a connection reset', () => {
    const tracker = new SuspicionTracker({ decayMs });
    tracker.recordSuccess('u1', 0, 1000);
    tracker.addSuspicion(createSuspicion('broken'), 1000);

    const risks = [1000, 4000, 7000].map((now) => tracker.getRisk('u1', 1, now));

    expect(risks.map((risk) => Math.round(risk * 100))).toEqual([100, 67, 33]);
  });

  // Guards against losing one request at every upstream that has had no request for a while.
  it('should raise the risk of an unused upstream until another host reports a success', () => {
    const tracker = new SuspicionTracker({ decayMs });
    tracker.recordSuccess('u1', 0, 0);
    const unused = tracker.getRisk('u1', 1, decayMs);

    tracker.recordRecovery('u1', decayMs);

    expect(unused).toBeCloseTo(0.3);
    expect(tracker.getRisk('u1', 1, decayMs)).toBe(0);
  });

  // Guards against new upstreams that are never chosen.
  it('should start with no risk for an upstream that has had no request', () => {
    const tracker = new SuspicionTracker({ decayMs });

    expect(tracker.getRisk('u1', 1, 50_000)).toBe(0);
  });

  // Healthy upstreams fail occasionally. Guards against hosts that avoid such an upstream while
  // other hosts get good answers from it.
  it('should lower the risk by good answers that other hosts got after the suspicion', () => {
    const tracker = new SuspicionTracker({ decayMs });
    tracker.addSuspicion(createSuspicion('broken'), 1000, 'other');

    Array.from({ length: 5 }).forEach(() => tracker.recordRecovery('u1', 1000));

    expect(tracker.getRisk('u1', 1, 1000)).toBeCloseTo(0.55 ** 5);
  });

  // Under high load, requests are overdue at every upstream. Guards against giving healthy
  // upstreams the same risk as those that reset connections.
  it('should keep the risk of any number of overdue requests below that of a reset', () => {
    const tracker = new SuspicionTracker({ decayMs });
    Array.from({ length: 20 }).forEach(() =>
      tracker.addSuspicion(createSuspicion('overdue'), 1000, 'other'),
    );
    const overdue = tracker.getRisk('u1', 1, 1000);
    tracker.addSuspicion(createSuspicion('broken'), 1000);

    expect([overdue, tracker.getRisk('u1', 1, 1000)]).toEqual([0.5, 1]);
  });

  // The links between some hosts and an upstream fail in one direction. Guards against a host that
  // uses its own failed link again because other hosts get answers.
  it.each(['unreachable', 'silent'] as const)(
    'should lower the risk only by answers to this host, after it found the upstream %s',
    (kind) => {
      const tracker = new SuspicionTracker({ decayMs });
      tracker.addSuspicion(createSuspicion(kind), 1000);

      tracker.recordRecovery('u1', 1000);
      const before = tracker.getRisk('u1', 1, 1000);
      tracker.recordSuccess('u1', 900, 1000);

      expect([before, tracker.getRisk('u1', 1, 1000)]).toEqual([1, 0.55]);
    },
  );

  // An upstream has failed permanently. Guards against forty hosts that each lose a request to
  // detect it.
  it('should raise the risk to 1 after failed connections of three other hosts', () => {
    const tracker = new SuspicionTracker({ decayMs });
    tracker.recordSuccess('u1', 0, 1000);

    const areNew = [3000, 3000, 3000].map((now) =>
      tracker.addSuspicion(createSuspicion('unreachable'), now, 'other'),
    );

    expect(areNew).toEqual([true, true, true]);
    expect(tracker.getRisk('u1', 1, 3000)).toBe(1);
  });

  // Guards against a single host whose link is bad and makes all others avoid a healthy upstream.
  it('should ignore a failed connection of another host while this host gets answers', () => {
    const tracker = new SuspicionTracker({ decayMs });
    tracker.recordSuccess('u1', 0, 1000);

    const isNew = tracker.addSuspicion(createSuspicion('unreachable'), 1000, 'other');

    expect(isNew).toBe(false);
    expect(tracker.getRisk('u1', 1, 1000)).toBe(0);
  });

  it('should ignore suspicions of an earlier incarnation of the upstream', () => {
    const tracker = new SuspicionTracker({ decayMs });
    tracker.addSuspicion(createSuspicion('broken', 1), 1000);

    const isNewerAccepted = tracker.addSuspicion(createSuspicion('broken', 2), 1100);
    const isOlderAccepted = tracker.addSuspicion(createSuspicion('broken', 1), 1200);

    expect([isNewerAccepted, isOlderAccepted]).toEqual([true, false]);
    expect(tracker.getRisk('u1', 3, 1300)).toBe(0);
  });

  it('should lower the risk only by good answers to requests sent after the suspicion', () => {
    const tracker = new SuspicionTracker({ decayMs });
    tracker.addSuspicion(createSuspicion('broken'), 1000);

    tracker.recordSuccess('u1', 900, 1000);
    const before = tracker.getRisk('u1', 1, 1000);
    tracker.recordSuccess('u1', 1100, 1000);

    expect(before).toBe(1);
    expect(tracker.getRisk('u1', 1, 1000)).toBeCloseTo(0.55);
  });
});

interface UpstreamCase {
  readonly name: string;
  readonly domain: string;
  readonly load: number;
  readonly risk: number;
  readonly isConnected?: boolean;
}

describe('LowestCostBalancer', () => {
  // Answers have 5 KB unless stated, like those of the bookings service.
  function choose(
    cases: readonly UpstreamCase[],
    retryScarcity = 1,
    answerBytes = 5000,
  ): string | undefined {
    const byName = new Map(cases.map((upstreamCase) => [upstreamCase.name, upstreamCase]));
    const candidates: UsableUpstream[] = cases.map(({ name, domain }) => ({
      weight: 1,
      record: createUpstream({ upstream: name, failureDomain: domain, slots: 4 }),
    }));
    const balancer = new LowestCostBalancer({
      readCosts: () => computeCosts({ otherDomainPrice: 0.25, answerBytes, retryScarcity }),
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
      hasIdleConnection: ({ record }) => byName.get(record.upstream)?.isConnected ?? false,
    });
    return chosen?.record.upstream;
  }

  const near = { name: 'near', domain: 'north', load: 0, risk: 0 };
  const far = { name: 'far', domain: 'south', load: 0, risk: 0 };

  // Guards against an upstream that answers errors at once, so that a connection to it is always
  // idle, and draws the look-ups for which a retry is left.
  it.each([
    { risk: 0, chosen: 'connected' },
    { risk: 0.12, chosen: 'other' },
  ])('should choose the $chosen upstream at a risk of $risk', ({ risk, chosen }) => {
    const other = { ...near, name: 'other' };
    const connected = { ...near, name: 'connected', isConnected: true, risk };

    expect(choose([other, connected], 0)).toBe(chosen);
  });

  it.each([
    [
      'a busy upstream of its own failure domain over an idle one of another',
      { ...near, load: 6 },
      'near',
    ],
    [
      'another failure domain over an upstream that is about to shed load',
      { ...near, load: 10 },
      'far',
    ],
    ['another failure domain over an upstream that will fail', { ...near, risk: 1 }, 'far'],
    ['its own failure domain with a small risk over another one', { ...near, risk: 0.3 }, 'near'],
  ])('should choose %s', (_title, upstreamCase, expected) => {
    expect(choose([upstreamCase, far])).toBe(expected);
  });

  // All upstreams of a service fail at the same time. Guards against refusing every request.
  it('should choose the upstream with the lowest risk when all have a high risk', () => {
    const risky = [0.9, 0.6, 1].map((risk, index) => ({ ...near, name: `n${index}`, risk }));

    expect(choose(risky)).toBe('n1');
  });

  // A look-up may be repeated, so a likely retry costs less than traffic between failure domains.
  it('should prefer a likely retry to another failure domain while retries are plentiful', () => {
    expect(choose([{ ...near, risk: 0.9 }, far], 0)).toBe('near');
  });

  // Guards against many look-ups that fail at the same time and use up the retry budget of all
  // requests.
  it('should avoid a likely retry as much as a lost request when retries are scarce', () => {
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

  // All healthy upstreams are full and another one failed some seconds ago. Guards against a
  // request that is shed although that upstream may have recovered.
  it('should choose an upstream that failed recently over full ones', () => {
    const full = [0, 1, 2].map((index) => ({ ...near, name: `full${index}`, load: 11 }));

    expect(choose([...full, { ...near, name: 'rested', risk: 0.45 }])).toBe('rested');
  });

  // A bundle of 90 KB from another failure domain costs more than it earns. Guards against a price
  // that a short queue, a likely retry or a full queue exceeds.
  it.each([
    ['a free slot', { ...near, load: 3 }, 1],
    ['a short queue', { ...near, load: 10 }, 1],
    ['a full queue', { ...near, load: 20 }, 1],
    ['a likely loss that may be retried', { ...near, risk: 1 }, 0.5],
  ])('should keep large answers in a domain with %s', (_title, upstreamCase, scarcity) => {
    expect(choose([upstreamCase, far], scarcity, 90_000)).toBe('near');
  });

  it('should fetch large answers from another domain when the own one likely loses them', () => {
    const suspected = [0.85, 0.95].map((risk, index) => ({ ...near, name: `n${index}`, risk }));

    expect(choose([...suspected, far], 1, 90_000)).toBe('far');
    expect(choose([...suspected, { ...near, load: 10 }, far], 1, 90_000)).toBe('near');
  });

  it('should choose no upstream when there are no candidates', () => {
    expect(choose([])).toBeUndefined();
  });
});
