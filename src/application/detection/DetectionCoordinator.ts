import computeLeaseQuorum from '../../domain/detection/computeLeaseQuorum.ts';
import type Detector from '../../domain/detection/Detector.ts';
import type { Outlier } from '../../domain/detection/Detector.ts';
import EjectionTracker from '../../domain/detection/EjectionTracker.ts';
import type { EjectionDecision } from '../../domain/detection/EjectionTracker.ts';
import LeaseQuorum from '../../domain/detection/LeaseQuorum.ts';
import type EjectionDirectory from '../../domain/detection/EjectionDirectory.ts';
import type Result from '../../domain/errors/Result.ts';
import type HostSource from '../../domain/membership/HostSource.ts';
import isServing from '../../domain/membership/isServing.ts';
import type UpstreamRecord from '../../domain/membership/UpstreamRecord.ts';
import type UpstreamSource from '../../domain/membership/UpstreamSource.ts';
import type { DetectionPreference, ServiceSettings } from '../../domain/presets/Preset.ts';
import type Clock from '../../ports/Clock.ts';
import type { DetectionReport, ServiceReport, SlowBound } from '../../ports/DetectionLink.ts';
import type Log from '../../ports/Log.ts';
import type ActivePreset from '../requests/ActivePreset.ts';
import type HostIdentity from './HostIdentity.ts';

const roundIntervalMs = 100;
// Time after the ramp of an upstream in which the requests that began during the ramp are answered.
const warmingSlackMs = 2000;
// A service without reports for this long is dropped. This time is longer than the remaining time
// of any issued ejection, so a dropped service has no valid ejections.
const idleMs = 60_000;

/** Options of the coordinator. */
export interface DetectionCoordinatorOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly self: HostIdentity;
  readonly activePreset: ActivePreset;
  readonly upstreams: UpstreamSource;
  readonly hosts: HostSource;
  readonly ejections: EjectionDirectory;
  readonly createDetector: (preference: DetectionPreference) => Detector;
  /** Called after an ejection record was stored, so that gossip can send it immediately. */
  readonly announceEjections: () => void;
  /** Creates the ejection tracker of a service; by default one with the default times. */
  readonly createTracker?: () => EjectionTracker;
}

interface CoordinatedService {
  readonly name: string;
  preference: DetectionPreference;
  detector: Detector;
  readonly quorum: LeaseQuorum;
  readonly tracker: EjectionTracker;
  hasQuorum: boolean;
  reportedAt: number;
}

/** Decides the ejections of the services for which reporters chose this host as coordinator. */
export default class DetectionCoordinator {
  private readonly options: DetectionCoordinatorOptions;

  private readonly services = new Map<string, CoordinatedService>();

  private sequence = 0;

  constructor(options: DetectionCoordinatorOptions) {
    this.options = options;
  }

  /** Accepts a report; refuses one that was addressed to an earlier process of this host. */
  acceptReport(report: DetectionReport): Result<readonly SlowBound[]> {
    const { incarnation } = this.options.self;
    if (report.judgeIncarnation !== incarnation) {
      const message = `detection.report: coordinator incarnation ${report.judgeIncarnation}: expected ${incarnation}`;
      return { ok: false, failure: { kind: 'message_invalid', message } };
    }
    const slowBounds = report.services.flatMap((serviceReport) => {
      const settings = this.readSettings(serviceReport.service);
      return settings ? [this.acceptServiceReport(report, serviceReport, settings)] : [];
    });
    return { ok: true, value: slowBounds };
  }

  /** Runs a decision round for all services every 100 ms until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      [...this.services.values()].forEach((service) => this.decideService(service));
      await clock.sleepUntil(clock.now() + roundIntervalMs, signal);
    }
  }

  private acceptServiceReport(
    report: DetectionReport,
    serviceReport: ServiceReport,
    settings: ServiceSettings,
  ): SlowBound {
    const service = this.getService(serviceReport.service, settings.detection);
    service.reportedAt = this.options.clock.now();
    const { reporter, failureDomain, revision } = report;
    if (serviceReport.grantedUntil !== undefined) {
      service.quorum.recordLease({ reporter, deadline: serviceReport.grantedUntil, revision });
    }
    const upstreams = serviceReport.upstreams.filter(
      ({ upstream }) => !service.tracker.isEjected(upstream),
    );
    if (upstreams.length > 0) {
      service.detector.recordEvidence({ reporter, failureDomain, upstreams });
    }
    return { service: serviceReport.service, slowBoundMs: service.detector.slowBoundMs };
  }

  private decideService(service: CoordinatedService): void {
    const { clock, upstreams, activePreset } = this.options;
    const now = clock.now();
    const { state } = activePreset;
    const settings = state?.preset.services[service.name];
    if (service.reportedAt + idleMs < now || !state || !settings) {
      this.services.delete(service.name);
      return;
    }
    this.updateDetector(service, settings.detection);
    // The leases of upstreams are also checked here: a partitioned host keeps expired records. If
    // those counted as serving, ejections could leave fewer healthy upstreams than the floor.
    const serving = upstreams
      .listUpstreams(service.name, now)
      .filter((record) => isServing(record, now));
    const outliers = this.listOutliers(service, serving, settings, now);
    service.quorum.dropExpired(now - idleMs);
    const quorumSize = computeLeaseQuorum({
      entryHosts: Math.max(state.preset.fleet.entryHosts, this.countEntryHosts(now)),
      earlier: state.earlierSizes ?? [],
      now,
    });
    const latestDeadline = service.quorum.computeLatestDeadline(quorumSize, state.revision);
    this.updateQuorum(service, latestDeadline > now, now);
    const decision = service.tracker.decideEjections({
      now,
      outliers,
      serving,
      floor: settings.floor,
      latestDeadline,
    });
    decision.released.forEach((upstream) => service.detector.resetUpstream(upstream));
    if (decision.changed) this.recordEjections(service.name, decision, now);
  }

  private listOutliers(
    service: CoordinatedService,
    serving: readonly UpstreamRecord[],
    { rampMs }: ServiceSettings,
    now: number,
  ): readonly Outlier[] {
    const warming = new Set(
      serving
        .filter(({ servingSince }) => now - servingSince < rampMs + warmingSlackMs)
        .map(({ upstream }) => upstream),
    );
    return service.detector
      .listOutliers({ now, warming })
      .filter(({ upstream }) => !service.tracker.isEjected(upstream));
  }

  // When this host gains the lease quorum, it starts from the last decision of the previous
  // coordinator.
  private updateQuorum(service: CoordinatedService, hasQuorum: boolean, now: number): void {
    if (hasQuorum === service.hasQuorum) return;
    service.hasQuorum = hasQuorum;
    const { log, ejections: directory, self } = this.options;
    log.info(`detection: ${hasQuorum ? 'gained' : 'lost'} the lease quorum`, {
      service: service.name,
    });
    const latest = directory.findLatest(service.name);
    const isOwn = latest?.judge === self.host && latest.incarnation === self.incarnation;
    if (hasQuorum && latest && !isOwn) service.tracker.restoreEjections(latest, now);
  }

  private recordEjections(service: string, decision: EjectionDecision, now: number): void {
    const { self, ejections: directory, log, announceEjections } = this.options;
    const { ejections, probations, released } = decision;
    const alreadyEjected = new Set(
      directory.listEjections(service, now).map(({ upstream }) => upstream),
    );
    this.sequence += 1;
    const { host: judge, incarnation } = self;
    const { sequence } = this;
    directory.putRecord({ service, judge, incarnation, sequence, ejections, probations }, now);
    announceEjections();
    ejections
      .filter(({ upstream }) => !alreadyEjected.has(upstream))
      .forEach(({ upstream, severity, repeats, heldUntil }) =>
        log.warn('detection: ejected an upstream', {
          service,
          upstream,
          severity,
          repeats,
          heldUntil,
        }),
      );
    released.forEach((upstream) =>
      log.info('detection: put an upstream on probation', { service, upstream }),
    );
  }

  // Counts the running entry hosts: when more of them run than the preset states, a majority of the
  // stated number would not be a majority of the running hosts.
  private countEntryHosts(now: number): number {
    return this.options.hosts.listHosts(now).filter(({ role }) => role === 'entry').length;
  }

  private readSettings(service: string): ServiceSettings | undefined {
    return this.options.activePreset.state?.preset.services[service];
  }

  private getService(name: string, preference: DetectionPreference): CoordinatedService {
    const known = this.services.get(name);
    if (known) return known;
    const service: CoordinatedService = {
      name,
      preference,
      detector: this.options.createDetector(preference),
      quorum: new LeaseQuorum(),
      tracker: this.options.createTracker?.() ?? new EjectionTracker(),
      hasQuorum: false,
      reportedAt: 0,
    };
    this.services.set(name, service);
    return service;
  }

  private updateDetector(service: CoordinatedService, preference: DetectionPreference): void {
    if (service.preference === preference) return;
    service.preference = preference;
    service.detector = this.options.createDetector(preference);
  }
}
