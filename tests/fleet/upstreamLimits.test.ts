import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import DomainExchange from '../../src/application/fleet/DomainExchange.ts';
import SuspicionTracker from '../../src/domain/detection/SuspicionTracker.ts';
import LowestCostBalancer from '../../src/domain/requests/LowestCostBalancer.ts';
import type UpstreamLimits from '../../src/domain/limits/UpstreamLimits.ts';
import { createUsable } from '../fixtures/createEntryPath.ts';
import createUpstreamLimits from '../fixtures/createUpstreamLimits.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import FakeDatagrams from '../fixtures/FakeDatagrams.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';
import SilentLog from '../fixtures/SilentLog.ts';

const upstream = { upstream: 'u1', incarnation: 1 };

describe('UpstreamLimits', () => {
  const now = 1_800_000_000_000;

  /** Counts the requests of one host that uses the upstream whenever it may, in 10 s. */
  function countRequests(limits: UpstreamLimits): number {
    const instants = Array.from({ length: 1000 }, (_, index) => now + 10 * index);
    return instants.filter((instant) => {
      if (!limits.mayUse(upstream, instant)) return false;
      limits.recordRequests('u1', 1, instant);
      return true;
    }).length;
  }

  it.each([
    ['its own failure domain', 'north', 3, 30],
    ['another failure domain', 'south', 3, 10],
    ['the only failure domain', 'north', 1, 50],
  ])(
    'should allow the share of a limit for an upstream of %s',
    (_title, failureDomain, failureDomains, expected) => {
      const limits = createUpstreamLimits({
        failureDomains,
        findFailureDomain: () => failureDomain,
      });
      limits.recordStatement({ ...upstream, requestsPerSecond: 5 }, now, now);

      const count = countRequests(limits);
      expect(count).toBeGreaterThanOrEqual(expected);
      expect(count).toBeLessThanOrEqual(1.15 * expected + 2);
    },
  );

  // Guards against an upstream that no host ever asks again whether its limit still holds.
  it('should allow a request now and then under a limit of 0', () => {
    const limits = createUpstreamLimits();
    limits.recordStatement({ ...upstream, requestsPerSecond: 0 }, now, now);
    limits.recordRequests('u1', 1, now);

    expect(limits.mayUse(upstream, now + 4000)).toBe(false);
    expect(limits.mayUse(upstream, now + 25_000)).toBe(true);
  });

  // Answers overtake each other. Guards against a limit that is forgotten because of an answer that
  // was written before the upstream stated it.
  it('should end a limit only by an answer to a request that was sent after the statement', () => {
    const limits = createUpstreamLimits();
    limits.recordStatement({ ...upstream, requestsPerSecond: 5 }, now, now + 300);
    const unlimited = { ...upstream, requestsPerSecond: undefined };

    const endings = [now, now + 300, now + 301].map((sentAt) =>
      limits.recordStatement(unlimited, sentAt, now + 600),
    );

    expect(endings).toEqual([false, false, true]);
    expect(limits.hasLimit('u1')).toBe(false);
  });

  it('should not apply a limit to a later incarnation, nor accept one of an earlier', () => {
    const limits = createUpstreamLimits();
    limits.recordStatement({ ...upstream, incarnation: 2, requestsPerSecond: 1 }, now, now);
    limits.recordRequests('u1', 5, now);

    expect(
      [1, 2, 3].map((incarnation) => limits.mayUse({ ...upstream, incarnation }, now)),
    ).toEqual([true, false, true]);
    expect(limits.recordStatement({ ...upstream, requestsPerSecond: 9 }, now, now)).toBe(false);
  });

  it('should keep the requests that were counted when a limit changes', () => {
    const limits = createUpstreamLimits({ failureDomains: 1 });
    limits.recordStatement({ ...upstream, requestsPerSecond: 1 }, now, now);
    limits.recordRequests('u1', 4, now);

    const freeAt = limits.getFreeAt(upstream);

    limits.recordStatement({ ...upstream, requestsPerSecond: 2 }, now, now);

    expect(freeAt).toBeGreaterThan(now);
    expect(limits.getFreeAt(upstream)).toBe(freeAt);
  });
});

describe('LowestCostBalancer with limits', () => {
  // On the capped day, requests under a limit were used up while other upstreams were idle,
  // and none was left when those failed.
  it('should use an upstream without a limit before the last requests of a limit', () => {
    const costs = {
      busySlots: 0.3,
      wait: 0.6,
      longWait: 1.2,
      otherDomain: 1,
      failure: 4,
      cold: 0.5,
    };
    const [limited, unlimited] = ['u1', 'u2'].map((name) => createUsable(name, name));
    const chooseWith = (use: number, risk: number) =>
      new LowestCostBalancer({
        readCosts: () => ({ ...costs, limited: 0.5, noise: 0 }),
        readRisk: (candidate) => (candidate === unlimited ? risk : 0),
        readLimitUse: (candidate) => (candidate === limited ? use : 0),
        loadHalfLifeMs: 800,
      }).chooseUpstream({
        candidates: [limited, unlimited].flatMap((candidate) => candidate ?? []),
        readLoad: (name) => ({ inFlight: name === 'u2' ? 1 : 0, reportedLoad: 0, reportedAt: 0 }),
        now: 1000,
        random: () => 0,
        failureDomain: 'north',
      })?.record.upstream;

    expect([chooseWith(0, 0), chooseWith(0.9, 0), chooseWith(0.9, 0.9)]).toEqual([
      'u1',
      'u2',
      'u1',
    ]);
  });
});

/** Entry hosts of one failure domain that press to use the upstream `u1` of the domain `north`. */
class PressingDomain {
  readonly datagrams = new FakeDatagrams();

  readonly hosts: readonly { readonly limits: UpstreamLimits; readonly exchange: DomainExchange }[];

  constructor(clock: FakeClock, failureDomain: string, signals: readonly AbortSignal[]) {
    const addresses = signals.map((_, index) => `${failureDomain}:${index}`);
    this.hosts = addresses.map((ownAddress, index) => {
      const limits = createUpstreamLimits({ failureDomain });
      const exchange = new DomainExchange({
        clock,
        log: new SilentLog(),
        socket: this.datagrams.openSocket(ownAddress),
        ownAddress,
        listPeers: () => addresses,
        findRelay: () => undefined,
        suspicions: new SuspicionTracker({ decayMs: 9000 }),
        limits,
        readRetries: () => ({}),
      });
      exchange.run(signals[index] as AbortSignal).catch(() => undefined);
      return { limits, exchange };
    });
  }
}

describe('limit of an upstream for the whole fleet', () => {
  const hostsPerDomain = 16;
  const latencyMs = 400;
  let clock: FakeClock;
  let random: SeededRandom;
  let controllers: readonly AbortController[];
  let domains: readonly PressingDomain[];
  /** Instants at which requests reached the upstream from hosts that it had told its limit. */
  let arrivals: number[];

  beforeEach(() => {
    clock = new FakeClock();
    random = new SeededRandom(3);
    arrivals = [];
    const names = ['north', 'south', 'west'];
    controllers = names.flatMap(() =>
      Array.from({ length: hostsPerDomain }, () => new AbortController()),
    );
    domains = names.map((name, index) => {
      const first = index * hostsPerDomain;
      const signals = controllers.slice(first, first + hostsPerDomain).map(({ signal }) => signal);
      return new PressingDomain(clock, name, signals);
    });
  });

  afterEach(async () => {
    controllers.forEach((controller) => controller.abort());
    await clock.advanceBy(2000);
  });

  /** Each host tries to send one request every 100 ms in the mean, for `ms`. */
  async function press(requestsPerSecond: number, ms: number): Promise<void> {
    const hosts = domains.flatMap((domain) => domain.hosts);
    const endAt = clock.now() + ms;
    const ends: { readonly at: number; readonly run: () => void }[] = [];
    while (clock.now() < endAt) {
      const at = clock.now() - Math.log(1 - random.next()) * (100 / hosts.length);
      for (const end of ends.splice(0, ends.findIndex((other) => other.at > at) >>> 0)) {
        await clock.advanceTo(end.at);
        end.run();
      }
      await clock.advanceTo(at);
      const host = hosts[Math.floor(random.next() * hosts.length)];
      if (host?.limits.mayUse(upstream, at)) {
        arrivals.push(at);
        host.exchange.recordStart('u1');
        const end = (): void => {
          host.exchange.reportLimit({ ...upstream, requestsPerSecond }, at);
          host.exchange.recordEnd('u1');
        };
        ends.push({ at: at + latencyMs, run: end });
      }
    }
  }

  /** The most requests that arrived in any 4 s from `since` on. */
  function countMost(since: number): number {
    const counted = arrivals.filter((at) => at >= since);
    return Math.max(
      ...counted.map((start) => counted.filter((at) => at >= start && at < start + 4000).length),
    );
  }

  // A capped upstream got 60 requests in 4 s of the 58 that it may get. Guards against hosts that
  // each keep a limit alone, so that all of them together break it.
  it.each([
    { requestsPerSecond: 0.4, lossShare: 0 },
    { requestsPerSecond: 1, lossShare: 0 },
    { requestsPerSecond: 4.9, lossShare: 0.05 },
    { requestsPerSecond: 8.8, lossShare: 0.05 },
    { requestsPerSecond: 30, lossShare: 0 },
  ])(
    'should hold while 48 hosts press ($requestsPerSecond requests/s, $lossShare of the datagrams lost)',
    async ({ requestsPerSecond, lossShare }) => {
      const startedAt = clock.now();
      domains.forEach(({ datagrams }) => {
        datagrams.isLost = () => random.next() < lossShare;
      });

      await press(requestsPerSecond, 14_000);

      // An upstream may get half more than its limit and 5 requests, from 3 s after its statement.
      expect(countMost(startedAt + 3000)).toBeLessThanOrEqual(6 * requestsPerSecond + 5);
      const perSecond = arrivals.filter((at) => at >= startedAt + 4000).length / 10;
      expect(perSecond).toBeGreaterThan(0.6 * requestsPerSecond);
    },
  );

  it('should be known to a host that starts', async () => {
    const [domain] = domains;
    const starting = domain?.hosts.at(-1);
    if (!domain || !starting) throw new Error('the domain has no hosts');
    domain.datagrams.isLost = () => true;
    domain.hosts
      .filter((host) => host !== starting)
      .forEach(({ exchange }) =>
        exchange.reportLimit({ ...upstream, requestsPerSecond: 2 }, clock.now()),
      );
    await clock.advanceBy(500);
    const hasLimitBefore = starting.limits.hasLimit('u1');
    domain.datagrams.isLost = () => false;

    starting.exchange.requestSuspicions();

    expect([hasLimitBefore, starting.limits.hasLimit('u1')]).toEqual([false, true]);
  });

  it('should end for all hosts of the domain when the upstream states none any more', async () => {
    const [domain] = domains;
    const [first] = domain?.hosts ?? [];
    const startedAt = clock.now();
    first?.exchange.reportLimit({ ...upstream, requestsPerSecond: 2 }, startedAt);
    await clock.advanceBy(100);
    const limitedHosts = domain?.hosts.filter(({ limits }) => limits.hasLimit('u1')).length;
    first?.exchange.reportLimit({ ...upstream, requestsPerSecond: undefined }, startedAt + 50);
    await clock.advanceBy(100);

    expect(limitedHosts).toBe(hostsPerDomain);
    expect(domain?.hosts.filter(({ limits }) => limits.hasLimit('u1'))).toEqual([]);
  });
});
