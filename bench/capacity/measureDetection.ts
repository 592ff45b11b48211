import SystemClock from '../../src/adapters/system/SystemClock.ts';
import TrpcDetectionLink from '../../src/adapters/trpc/TrpcDetectionLink.ts';
import TrpcPeerConnection from '../../src/adapters/trpc/TrpcPeerConnection.ts';
import TrpcPeerServer from '../../src/adapters/trpc/TrpcPeerServer.ts';
import createDetectionRouter from '../../src/adapters/trpc/createDetectionRouter.ts';
import {
  encodeDetectionReport,
  parseEjectionRecord,
} from '../../src/adapters/trpc/detectionMessages.ts';
import { checkHostRecord, checkUpstreamRecord } from '../../src/adapters/trpc/gossipMessages.ts';
import { router } from '../../src/adapters/trpc/trpcBase.ts';
import EvidenceReporter from '../../src/application/detection/EvidenceReporter.ts';
import DetectionCoordinator from '../../src/application/detection/DetectionCoordinator.ts';
import PooledDetector from '../../src/domain/detection/PooledDetector.ts';
import EjectionDirectory from '../../src/domain/detection/EjectionDirectory.ts';
import { detectionSettings } from '../../src/domain/detection/detectionSettings.ts';
import HostDirectory from '../../src/domain/membership/HostDirectory.ts';
import UpstreamDirectory from '../../src/domain/membership/UpstreamDirectory.ts';
import type Clock from '../../src/ports/Clock.ts';
import type { DetectionReport } from '../../src/ports/DetectionLink.ts';
import FakeClock from '../../tests/fixtures/FakeClock.ts';
import SilentLog from '../../tests/fixtures/SilentLog.ts';
import { createHost, createUpstream } from '../../tests/fixtures/createRecords.ts';
import { createLargePreset } from './measureEntry.ts';
import { measureProcessorMs, printSizes } from './measure.ts';

const services = 320;
const upstreamsOfService = 47;
const peerKey = 'a key of the benchmark';
// Time at which the records are put: a directory limits a lease to 60 s after that time, and no
// lease may expire during the measurement.
const announcedAt = 4_000_000_000_000;
const log = new SilentLog();
const preset = createLargePreset(5000, services);
const activePreset = {
  state: { groupId: 'group', revision: 1, name: 'peak', preset },
  routeTable: undefined,
};

function createHosts(count: number): HostDirectory {
  const hosts = new HostDirectory({ checkRecord: checkHostRecord });
  Array.from({ length: count }, (_, index) =>
    hosts.putRecord(
      createHost({ host: `entry-${index}`, peerAddress: `10.0.0.1:${index}` }),
      announcedAt,
    ),
  );
  return hosts;
}

function createCoordinator(
  clock: Clock,
  hosts: HostDirectory,
  upstreamCount: number,
): DetectionCoordinator {
  const upstreams = new UpstreamDirectory({ checkRecord: checkUpstreamRecord });
  Array.from({ length: upstreamCount }, (_, index) =>
    upstreams.putRecord(
      createUpstream({ service: `service-${index % services}`, upstream: `upstream-${index}` }),
      announcedAt,
    ),
  );
  return new DetectionCoordinator({
    ...{ clock, log, activePreset, upstreams, hosts },
    self: { host: 'entry-0', failureDomain: 'north', incarnation: 1 },
    ejections: new EjectionDirectory({ checkRecord: parseEjectionRecord }),
    createDetector: (preference) => new PooledDetector({ settings: detectionSettings[preference] }),
    announceEjections: () => undefined,
  });
}

/** Creates a report with one answer from one upstream of each of the first services. */
function createReport(reporter: number, servicesWithTraffic: number, now: number): DetectionReport {
  return {
    ...{ reporter: `entry-${reporter}`, failureDomain: 'north', judgeIncarnation: 1, revision: 1 },
    services: Array.from({ length: servicesWithTraffic }, (_, index) => {
      const upstream = `upstream-${index + services * (reporter % upstreamsOfService)}`;
      const evidence = { upstream, failed: 0, overdue: 0, latencies: [18, 1], lateLatencies: [] };
      return { service: `service-${index}`, grantedUntil: now + 3000, upstreams: [evidence] };
    }),
  };
}

/** Measures one report to a coordinator over a real WebSocket, by services with traffic. */
async function measureReports(): Promise<void> {
  const clock = new SystemClock();
  const coordinator = createCoordinator(clock, createHosts(46), 1000);
  const detection = createDetectionRouter({ coordinator });
  const server = new TrpcPeerServer({ router: router({ detection }), peerKey, log });
  await server.openListener({ ip: '127.0.0.1', port: 0 });
  const address = `127.0.0.1:${server.address.port}`;
  const connection = new TrpcPeerConnection({ address, peerKey, ownHost: 'entry-1', clock, log });
  const link = new TrpcDetectionLink({ connection, release: () => connection.close() });
  const measure = async (servicesWithTraffic: number) => {
    const report = createReport(1, servicesWithTraffic, clock.now());
    return {
      'report bytes': JSON.stringify(encodeDetectionReport(report)).length,
      'ms per report, both ends': await measureProcessorMs(400, () =>
        link.sendReport(report, clock.now() + 1000),
      ),
      'ms to accept one report': await measureProcessorMs(400, () =>
        coordinator.acceptReport(report),
      ),
    };
  };
  await printSizes({
    title: 'evidence reports over one real WebSocket',
    sizeName: 'services in the report',
    sizes: [1, 5, 20, 80, 320],
    futureSize: 320,
    measure,
  });
  link.close();
  await server.closeListener();
}

/** Measures the reports that one of `entryHosts` hosts sends for 320 services and 85 requests/s. */
async function measureReporter(entryHosts: number) {
  const clock = new FakeClock();
  const links = new Set<string>();
  let reports = 0;
  let bytes = 0;
  const reporter = new EvidenceReporter({
    ...{ clock, log, activePreset, hosts: createHosts(entryHosts) },
    self: { host: 'entry-1', failureDomain: 'north', incarnation: 1 },
    ownLink: { sendReport: async () => ({ ok: true, value: [] }), close: () => undefined },
    opener: {
      openLink: ({ host }) => ({
        sendReport: async (report) => {
          links.add(host);
          reports += 1;
          bytes += JSON.stringify(encodeDetectionReport(report)).length;
          return { ok: true, value: [] };
        },
        close: () => undefined,
      }),
    },
  });
  const stopped = new AbortController();
  const finished = reporter.run(stopped.signal);
  await clock.advanceBy(5000);
  [reports, bytes] = [0, 0];
  const seconds = 4;
  const processorMsPerSecond = await measureProcessorMs(seconds, async (run) => {
    // The first run is the warm-up of 1 s and is not counted.
    if (run === 1) [reports, bytes] = [0, 0];
    for (let request = 0; request < 85; request += 1) {
      const serviceNumber = (run * 85 + request) * 7;
      const answerClass = 'good' as const;
      const startedAt = clock.now();
      reporter.recordEnd(`${run}-${request}`, {
        ...{ service: `service-${serviceNumber % services}`, upstream: 'upstream-1', answerClass },
        ...{ startedAt, endedAt: startedAt + 25, reportedLoad: undefined, answerBytes: 0 },
      });
      if (request % 17 === 16) await clock.advanceBy(200);
    }
  });
  stopped.abort();
  await clock.advanceBy(1000);
  await finished;
  return {
    'coordinators reported to': links.size,
    'reports per s': reports / seconds,
    'report KB per s': bytes / 1000 / seconds,
    'processor ms per s': processorMsPerSecond,
  };
}

/** Measures the rounds of the coordinator of one service; `upstreams` counts those of the fleet. */
async function measureRound(reporters: number, upstreams: number) {
  const clock = new FakeClock();
  const coordinator = createCoordinator(clock, createHosts(reporters), upstreams);
  const stopped = new AbortController();
  const finished = coordinator.run(stopped.signal);
  const reportAll = (): void =>
    Array.from({ length: reporters }, (_, reporter) => reporter).forEach((reporter) =>
      coordinator.acceptReport(createReport(reporter, 1, clock.now())),
    );
  const reportMs = await measureProcessorMs(8, reportAll);
  const roundMs = await measureProcessorMs(20, () => clock.advanceBy(100));
  stopped.abort();
  await clock.advanceBy(100);
  await finished;
  return { 'ms to accept one report': reportMs / reporters, 'ms per round': roundMs };
}

/** Measures reports of entry hosts and rounds of coordinators. */
export default async function measureDetection(): Promise<void> {
  await measureReports();
  await printSizes({
    title: 'coordinator of one service with 47 upstreams, 15,000 upstreams in the directory',
    sizeName: 'reporters',
    sizes: [46, 275, 1100],
    futureSize: 1100,
    measure: (reporters) => measureRound(reporters, 15_000),
  });
  await printSizes({
    title: 'coordinator of one service, 46 reporters',
    sizeName: 'upstreams in the directory',
    sizes: [1000, 4000, 15_000],
    futureSize: 15_000,
    measure: (upstreams) => measureRound(46, upstreams),
  });
  await printSizes({
    title: 'reports of one entry host, without the cost of the connections',
    sizeName: 'entry hosts',
    sizes: [46, 275, 1100],
    futureSize: 1100,
    measure: measureReporter,
  });
}
