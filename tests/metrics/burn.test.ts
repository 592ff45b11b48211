import { describe, expect, it } from 'vitest';

import HdrLatencyRecorder from '../../src/adapters/metrics/HdrLatencyRecorder.ts';
import BurnReporter from '../../src/application/metrics/BurnReporter.ts';
import ServiceLevelObserver from '../../src/application/metrics/ServiceLevelObserver.ts';
import ServiceLevelCounters from '../../src/domain/metrics/ServiceLevelCounters.ts';
import type { HostMeasurements } from '../../src/ports/MetricsLink.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import createPreset, { createService } from '../fixtures/createPreset.ts';

const preset = createPreset({
  services: { history: createService({ objective: { goodShare: 0.99, withinMs: 100 } }) },
});
const state = { groupId: 'group', revision: 1, name: 'ordinary', preset };

function createHost(clock: FakeClock, host: string): ServiceLevelObserver {
  return new ServiceLevelObserver({
    host,
    clock,
    activePreset: { state, routeTable: undefined },
    counters: new ServiceLevelCounters(),
    latencies: new HdrLatencyRecorder(),
  });
}

function recordRequests(
  observer: ServiceLevelObserver,
  clock: FakeClock,
  requests: { readonly count: number; readonly status: number; readonly elapsedMs: number },
): void {
  Array.from({ length: requests.count }).forEach(() => {
    observer.recordRequest({
      service: 'history',
      startedAt: clock.now() - requests.elapsedMs,
      endedAt: clock.now(),
      status: requests.status,
      errorKind: undefined,
      attempts: 1,
    });
  });
}

function createReporter(clock: FakeClock, snapshots: Record<string, HostMeasurements | undefined>) {
  return new BurnReporter({
    clock,
    merger: new HdrLatencyRecorder(),
    listEntryHosts: () => Object.keys(snapshots),
    openLink: (host) => ({
      close: () => undefined,
      requestMeasurements: async () => {
        const snapshot = snapshots[host];
        return snapshot
          ? { ok: true, value: snapshot }
          : { ok: false, failure: { kind: 'peer_unreachable', message: `${host}: no answer` } };
      },
    }),
    readPreset: () => preset,
  });
}

describe('burn report', () => {
  // Guards against averaging the burn rates of the hosts, which would hide a failing host that has
  // much of the traffic.
  it('should merge the counts and histograms of all hosts', async () => {
    const clock = new FakeClock();
    const [first, second] = [createHost(clock, 'entry-1'), createHost(clock, 'entry-2')];
    recordRequests(first, clock, { count: 90, status: 200, elapsedMs: 20 });
    recordRequests(second, clock, { count: 8, status: 200, elapsedMs: 300 });
    recordRequests(second, clock, { count: 2, status: 503, elapsedMs: 1 });

    const report = await createReporter(clock, {
      'entry-1': first.takeSnapshot(),
      'entry-2': second.takeSnapshot(),
    }).createReport();

    const [service] = report.services;
    expect(service?.counts['5m']).toEqual({ good: 90, bad: 10 });
    expect(service?.burnRates['5m']).toBeCloseTo(10);
    expect(service?.budgetLeft).toBeCloseTo(-9);
    expect(service?.latency.count).toBe(100);
    expect(service?.latency.p99).toBeGreaterThan(290);
  });

  it('should list the hosts that did not answer', async () => {
    const clock = new FakeClock();
    const first = createHost(clock, 'entry-1');

    const report = await createReporter(clock, {
      'entry-1': first.takeSnapshot(),
      'entry-2': undefined,
    }).createReport();

    expect(report.missingHosts).toEqual(['entry-2']);
  });

  // Guards against a slot of the ring buffer that keeps the counts of an earlier period.
  it('should no longer count requests that are older than the window', async () => {
    const clock = new FakeClock();
    const host = createHost(clock, 'entry-1');
    recordRequests(host, clock, { count: 5, status: 500, elapsedMs: 1 });
    await clock.advanceBy(3_660_000);
    recordRequests(host, clock, { count: 1, status: 200, elapsedMs: 1 });

    const counts = host.takeSnapshot().services[0]?.counts;

    expect(counts?.['1h']).toEqual({ good: 1, bad: 0 });
    expect(counts?.['6h']).toEqual({ good: 1, bad: 5 });
  });
});
