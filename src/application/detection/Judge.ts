import computeNeededGrants from '../../domain/detection/computeNeededGrants.ts';
import type Detector from '../../domain/detection/Detector.ts';
import type { Suspect } from '../../domain/detection/Detector.ts';
import EjectionLedger from '../../domain/detection/EjectionLedger.ts';
import type { LedgerDecision } from '../../domain/detection/EjectionLedger.ts';
import GrantedMajority from '../../domain/detection/GrantedMajority.ts';
import type VerdictBook from '../../domain/detection/VerdictBook.ts';
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

const roundMs = 100;
// Requests that began during the ramp are answered by then.
const warmingSlackMs = 2000;
// Longer than any lease of an ejection, so a dropped service has no valid ones.
const idleMs = 60_000;

/** What the judge needs. */
export interface JudgeOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly self: HostIdentity;
  readonly activePreset: ActivePreset;
  readonly upstreams: UpstreamSource;
  readonly hosts: HostSource;
  readonly verdicts: VerdictBook;
  readonly createDetector: (preference: DetectionPreference) => Detector;
  /** Called after a verdict was recorded, so that gossip can send it at once. */
  readonly announceVerdict: () => void;
  /** Makes the ledger of a service; the default keeps the usual times. */
  readonly createLedger?: () => EjectionLedger;
}

interface JudgedService {
  readonly name: string;
  preference: DetectionPreference;
  detector: Detector;
  readonly majority: GrantedMajority;
  readonly ledger: EjectionLedger;
  hasMajority: boolean;
  reportedAt: number;
}

/** Judges the services that reporters choose this host for. */
export default class Judge {
  private readonly options: JudgeOptions;

  private readonly services = new Map<string, JudgedService>();

  private sequence = 0;

  constructor(options: JudgeOptions) {
    this.options = options;
  }

  /** Takes a report; refuses one that is meant for an earlier process of this host. */
  acceptReport(report: DetectionReport): Result<readonly SlowBound[]> {
    const { incarnation } = this.options.self;
    if (report.judgeIncarnation !== incarnation) {
      const message = `detection.report: judge incarnation ${report.judgeIncarnation}: expected ${incarnation}`;
      return { ok: false, failure: { kind: 'message_invalid', message } };
    }
    const known = report.services.flatMap((part) => {
      const settings = this.readSettings(part.service);
      return settings ? [this.acceptPart(report, part, settings)] : [];
    });
    return { ok: true, value: known };
  }

  /** Decides in rounds until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      [...this.services.values()].forEach((service) => this.decideService(service));
      await clock.sleepUntil(clock.now() + roundMs, signal);
    }
  }

  private acceptPart(
    report: DetectionReport,
    part: ServiceReport,
    settings: ServiceSettings,
  ): SlowBound {
    const service = this.getService(part.service, settings.detection);
    service.reportedAt = this.options.clock.now();
    const { reporter, failureDomain, revision } = report;
    if (part.grantedUntil !== undefined) {
      service.majority.recordGrant({ reporter, deadline: part.grantedUntil, revision });
    }
    const upstreams = part.upstreams.filter(({ upstream }) => !service.ledger.isEjected(upstream));
    if (upstreams.length > 0) {
      service.detector.recordEvidence({ reporter, failureDomain, upstreams });
    }
    return { service: part.service, slowBoundMs: service.detector.slowBoundMs };
  }

  private decideService(service: JudgedService): void {
    const { clock, upstreams, activePreset } = this.options;
    const now = clock.now();
    const { state } = activePreset;
    const settings = state?.preset.services[service.name];
    if (service.reportedAt + idleMs < now || !state || !settings) {
      this.services.delete(service.name);
      return;
    }
    this.updateDetector(service, settings.detection);
    // Leases are checked here as well: a host that is cut off keeps expired records, which must not
    // make room for ejections above the floor.
    const serving = upstreams
      .listUpstreams(service.name, now)
      .filter((record) => isServing(record, now));
    const suspects = this.listSuspects(service, serving, settings, now);
    service.majority.dropOld(now - idleMs);
    const needed = computeNeededGrants({
      entryHosts: Math.max(state.preset.fleet.entryHosts, this.countEntryHosts(now)),
      earlier: state.earlierSizes ?? [],
      now,
    });
    const latestDeadline = service.majority.computeLatestDeadline(needed, state.revision);
    this.followMajority(service, latestDeadline > now, now);
    const decision = service.ledger.decideEjections({
      now,
      suspects,
      serving,
      floor: settings.floor,
      latestDeadline,
    });
    decision.released.forEach((upstream) => service.detector.resetUpstream(upstream));
    if (decision.changed) this.recordVerdict(service.name, decision, now);
  }

  private listSuspects(
    service: JudgedService,
    serving: readonly UpstreamRecord[],
    { rampMs }: ServiceSettings,
    now: number,
  ): readonly Suspect[] {
    const warming = new Set(
      serving
        .filter(({ servingSince }) => now - servingSince < rampMs + warmingSlackMs)
        .map(({ upstream }) => upstream),
    );
    return service.detector
      .listSuspects({ now, warming })
      .filter(({ upstream }) => !service.ledger.isEjected(upstream));
  }

  // A new judge goes on from the last decision of the one before it.
  private followMajority(service: JudgedService, hasMajority: boolean, now: number): void {
    if (hasMajority === service.hasMajority) return;
    service.hasMajority = hasMajority;
    const { log, verdicts, self } = this.options;
    log.info(`detection: ${hasMajority ? 'gained' : 'lost'} the majority of grants`, {
      service: service.name,
    });
    const latest = verdicts.findLatest(service.name);
    const isOwn = latest?.judge === self.host && latest.incarnation === self.incarnation;
    if (hasMajority && latest && !isOwn) service.ledger.restoreVerdict(latest, now);
  }

  private recordVerdict(service: string, decision: LedgerDecision, now: number): void {
    const { self, verdicts, log, announceVerdict } = this.options;
    const { ejections, probations, released } = decision;
    const before = new Set(verdicts.listEjections(service, now).map(({ upstream }) => upstream));
    this.sequence += 1;
    const { host: judge, incarnation } = self;
    const { sequence } = this;
    verdicts.recordVerdict({ service, judge, incarnation, sequence, ejections, probations }, now);
    announceVerdict();
    ejections
      .filter(({ upstream }) => !before.has(upstream))
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

  // With more hosts than the preset names, half of the named ones would not be a majority.
  private countEntryHosts(now: number): number {
    return this.options.hosts.listHosts(now).filter(({ role }) => role === 'entry').length;
  }

  private readSettings(service: string): ServiceSettings | undefined {
    return this.options.activePreset.state?.preset.services[service];
  }

  private getService(name: string, preference: DetectionPreference): JudgedService {
    const known = this.services.get(name);
    if (known) return known;
    const service: JudgedService = {
      name,
      preference,
      detector: this.options.createDetector(preference),
      majority: new GrantedMajority(),
      ledger: this.options.createLedger?.() ?? new EjectionLedger(),
      hasMajority: false,
      reportedAt: 0,
    };
    this.services.set(name, service);
    return service;
  }

  private updateDetector(service: JudgedService, preference: DetectionPreference): void {
    if (service.preference === preference) return;
    service.preference = preference;
    service.detector = this.options.createDetector(preference);
  }
}
