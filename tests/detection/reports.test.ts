import { afterEach, describe, expect, it } from 'vitest';

import createDetectionRouter from '../../src/adapters/trpc/createDetectionRouter.ts';
import {
  decodeDetectionReport,
  detectionReportSchema,
  encodeDetectionReport,
  parseEjectionRecord,
} from '../../src/adapters/trpc/detectionMessages.ts';
import { router } from '../../src/adapters/trpc/trpcBase.ts';
import TrpcDetectionLink from '../../src/adapters/trpc/TrpcDetectionLink.ts';
import TrpcPeerConnection from '../../src/adapters/trpc/TrpcPeerConnection.ts';
import TrpcPeerServer from '../../src/adapters/trpc/TrpcPeerServer.ts';
import SystemClock from '../../src/adapters/system/SystemClock.ts';
import EvidenceCollector from '../../src/domain/detection/EvidenceCollector.ts';
import type { AnswerClass } from '../../src/domain/requests/AttemptObservation.ts';
import FakeClock from '../fixtures/FakeClock.ts';
import HostClock from '../fixtures/HostClock.ts';
import SimulatedHost from '../fixtures/SimulatedHost.ts';
import SilentLog from '../fixtures/SilentLog.ts';
import createPreset from '../fixtures/createPreset.ts';
import { createHost, createUpstream } from '../fixtures/createRecords.ts';

const peerKey = 'a-key-of-sixteen';

function createEntryHost(clock: FakeClock): SimulatedHost {
  return new SimulatedHost({
    record: createHost({ incarnation: 7 }),
    clock: new HostClock(clock, 0),
    state: {
      ...{ groupId: 'group', revision: 1, name: 'ordinary' },
      preset: createPreset({ fleet: { entryHosts: 1 } }),
    },
    opener: {
      openLink: () => {
        throw new Error('openLink: this fleet has no other host');
      },
    },
    announceEjections: () => undefined,
    leases: undefined,
  });
}

const report = {
  reporter: 'entry-1',
  failureDomain: 'north',
  judgeIncarnation: 7,
  revision: 1,
  services: [
    {
      service: 'history',
      grantedUntil: 5,
      upstreams: [
        { upstream: 'a', failed: 1, overdue: 2, latencies: [19, 3], lateLatencies: [30, 1] },
      ],
    },
  ],
};

describe('evidence', () => {
  const recordEnd = (
    collector: EvidenceCollector,
    id: string,
    answerClass: AnswerClass,
    ms: number,
  ) =>
    collector.recordEnd(id, {
      ...{ service: 'history', upstream: 'a', answerClass, startedAt: 0, endedAt: ms },
      reportedLoad: undefined,
      answerBytes: 0,
    });

  // Guards against counting load shedding, or a caller that disconnects, as a failure of the
  // upstream.
  it('should not count shed and cancelled requests as evidence', () => {
    const collector = new EvidenceCollector();
    recordEnd(collector, '1', 'shed', 5);
    recordEnd(collector, '2', 'cancelled', 5);

    expect(collector.takeEvidence('history', 10)).toEqual([]);
  });

  // Guards against a hung request that is counted only when it finishes, or is counted twice.
  it('should count an open request once, as soon as it exceeds the slow bound', () => {
    const collector = new EvidenceCollector();
    collector.setSlowBound('history', 100);
    collector.recordStart({ requestId: '1', service: 'history', upstream: 'a', startedAt: 0 });

    expect(collector.takeEvidence('history', 99)).toEqual([]);
    expect(collector.takeEvidence('history', 100)).toMatchObject([{ overdue: 1 }]);
    recordEnd(collector, '1', 'good', 1000);
    expect(collector.takeEvidence('history', 1000)).toMatchObject([{ overdue: 0, latencies: [] }]);
  });

  it('should encode a report in less than 80 bytes and decode it unchanged', () => {
    const message = JSON.parse(JSON.stringify(encodeDetectionReport(report)));

    expect(decodeDetectionReport(detectionReportSchema.parse(message))).toEqual(report);
    expect(JSON.stringify(message).length).toBeLessThan(80);
  });

  it('should ignore a malformed ejection record', () => {
    expect(parseEjectionRecord({ service: 'history', judge: 'x' })).toBeUndefined();
  });
});

describe('detection link', () => {
  const closers: (() => unknown)[] = [];
  afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

  // Guards against a restarted coordinator that accepts leases and evidence addressed to its
  // earlier process.
  it('should deliver reports to the coordinator and refuse those for an earlier process', async () => {
    const { coordinator } = createEntryHost(new FakeClock());
    const server = new TrpcPeerServer({
      router: router({ detection: createDetectionRouter({ coordinator }) }),
      peerKey,
      log: new SilentLog(),
    });
    await server.openListener({ ip: '127.0.0.1', port: 0 });
    const clock = new SystemClock();
    const connection = new TrpcPeerConnection({
      address: `127.0.0.1:${server.address.port}`,
      ...{ peerKey, ownHost: 'entry-1', clock, log: new SilentLog() },
    });
    const link = new TrpcDetectionLink({ connection, release: () => connection.close() });
    closers.push(
      () => server.closeListener(),
      () => link.close(),
    );

    const accepted = await link.sendReport(report, clock.now() + 5000);
    expect(accepted).toEqual({ ok: true, value: [{ service: 'history', slowBoundMs: undefined }] });
    const refused = await link.sendReport({ ...report, judgeIncarnation: 6 }, clock.now() + 5000);
    expect(refused).toMatchObject({ ok: false, failure: { kind: 'message_invalid' } });
  });
});

describe('entry host', () => {
  // Guards against faults in the connections between the components, from the observer of attempts
  // to the upstream pool, which tests of single components do not find.
  it('should eject an upstream whose answers fail, and readmit it with a tenth of its weight at first', async () => {
    const clock = new FakeClock();
    const host = createEntryHost(clock);
    host.hosts.set('entry-0', host.record);
    ['a', 'b', 'c', 'd', 'e', 'f', 'g'].forEach((upstream) =>
      host.upstreams.set(upstream, createUpstream({ upstream })),
    );
    host.start();
    const sendRequests = async (rounds: number, failingUpstream: string) => {
      for (let round = 0; round < rounds; round += 1) {
        const now = clock.now();
        host.pool.listUsable('history').forEach(({ record }, index) => {
          const requestId = `${now}/${index}`;
          const target = { service: 'history', upstream: record.upstream };
          const started = { requestId, ...target, operation: 'look up', serviceTimes: 1 };
          host.reporter.recordStart({ ...started, startedAt: now - 25 });
          const answerClass = record.upstream === failingUpstream ? 'failed' : 'good';
          const times = {
            startedAt: now - 25,
            endedAt: now,
            reportedLoad: undefined,
            answerBytes: 0,
          };
          host.reporter.recordEnd(requestId, { ...target, ...times, answerClass });
        });
        await clock.advanceBy(50);
      }
    };
    const listUsable = () => host.pool.listUsable('history');

    await sendRequests(100, '');
    expect(listUsable()).toHaveLength(7);
    await sendRequests(40, 'c');
    expect(listUsable().map(({ record }) => record.upstream)).not.toContain('c');
    await sendRequests(200, '');
    expect(listUsable().find(({ record }) => record.upstream === 'c')?.weight).toBe(0.1);
    await sendRequests(220, '');
    expect(listUsable().find(({ record }) => record.upstream === 'c')?.weight).toBe(1);
    const stopped = host.stop();
    await clock.advanceBy(1000);
    await stopped;
  });
});
