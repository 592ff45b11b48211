import chooseCoordinator from '../../domain/detection/chooseCoordinator.ts';
import EvidenceCollector from '../../domain/detection/EvidenceCollector.ts';
import CoordinatorLeases from '../../domain/detection/CoordinatorLeases.ts';
import type HostRecord from '../../domain/membership/HostRecord.ts';
import type HostSource from '../../domain/membership/HostSource.ts';
import type AttemptObservation from '../../domain/requests/AttemptObservation.ts';
import type Clock from '../../ports/Clock.ts';
import type DetectionLink from '../../ports/DetectionLink.ts';
import type { DetectionLinkOpener, ServiceReport } from '../../ports/DetectionLink.ts';
import type Log from '../../ports/Log.ts';
import type ActivePreset from '../requests/ActivePreset.ts';
import type AttemptObserver from '../requests/AttemptObserver.ts';
import type { StartedAttempt } from '../requests/AttemptObserver.ts';
import type HostIdentity from './HostIdentity.ts';

const reportIntervalMs = 250;
const reportDeadlineMs = 500;
// Without traffic, a report that only renews the lease is sent at this interval. The interval is a
// third of the lease duration, so that the lease survives lost reports.
const leaseIntervalMs = 1000;
// After this many consecutive failed reports, another coordinator is chosen for `unreachableMs`.
const maxFailedReports = 4;
const unreachableMs = 10_000;

/** Options of the reporter. */
export interface EvidenceReporterOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly self: HostIdentity;
  readonly activePreset: ActivePreset;
  readonly hosts: HostSource;
  /** Link to the coordinator that runs in this process. */
  readonly ownLink: DetectionLink;
  readonly opener: DetectionLinkOpener;
  /** Coordinator leases that this process has granted; none unless set. */
  readonly leases?: CoordinatorLeases;
}

/**
 * Reports evidence and leases to the coordinator of each service, with one task for each
 * coordinator.
 */
export default class EvidenceReporter implements AttemptObserver {
  private readonly options: EvidenceReporterOptions;

  private readonly collector = new EvidenceCollector();

  private readonly leases: CoordinatorLeases;

  private readonly tasks = new Map<string, Promise<void>>();

  private readonly unreachableUntil = new Map<string, number>();

  private readonly leaseGrantedAt = new Map<string, number>();

  private assignment = new Map<string, HostRecord>();

  private assignmentKey = '';

  constructor(options: EvidenceReporterOptions) {
    this.options = options;
    this.leases = options.leases ?? new CoordinatorLeases({ startedAt: options.clock.now() });
  }

  recordStart(attempt: StartedAttempt): void {
    this.collector.recordStart(attempt);
  }

  recordEnd(requestId: string, observation: AttemptObservation): void {
    this.collector.recordEnd(requestId, observation);
  }

  /**
   * Sends reports until the signal aborts; resolves when the tasks of all coordinators are
   * finished.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    while (!signal.aborted) {
      this.updateAssignment();
      this.startTasks(signal);
      await clock.sleepUntil(clock.now() + reportIntervalMs, signal);
    }
    await Promise.all(this.tasks.values());
  }

  private startTasks(signal: AbortSignal): void {
    new Set(this.assignment.values()).forEach((coordinator) => {
      const key = this.getTaskKey(coordinator);
      if (this.tasks.has(key)) return;
      const task = this.runTask(coordinator, signal)
        .catch((error: Error) =>
          this.options.log.error('detection: reporting to a coordinator failed', {
            judge: coordinator.host,
            error: error.message,
          }),
        )
        .finally(() => this.tasks.delete(key));
      this.tasks.set(key, task);
    });
  }

  // Sends reports to one coordinator until it is unreachable or no service is assigned to it.
  private async runTask(coordinator: HostRecord, signal: AbortSignal): Promise<void> {
    const { clock, log, self, ownLink, opener } = this.options;
    const link = coordinator.host === self.host ? ownLink : opener.openLink(coordinator);
    log.debug('detection: started reporting to a coordinator', { judge: coordinator.host });
    let failedReports = 0;
    while (!signal.aborted && this.listServices(coordinator).length > 0) {
      const now = clock.now();
      const result = await this.sendReport(link, coordinator, now);
      failedReports = result ? 0 : failedReports + 1;
      if (failedReports === maxFailedReports) {
        this.unreachableUntil.set(coordinator.host, clock.now() + unreachableMs);
        log.warn('detection: a coordinator is unreachable', { judge: coordinator.host });
        break;
      }
      await clock.sleepUntil(now + reportIntervalMs, signal);
    }
    if (link !== ownLink) link.close();
    log.debug('detection: stopped reporting to a coordinator', { judge: coordinator.host });
  }

  // The evidence of a failed report is not sent again, because the report may have arrived.
  private async sendReport(
    link: DetectionLink,
    coordinator: HostRecord,
    now: number,
  ): Promise<boolean> {
    const { host: reporter, failureDomain } = this.options.self;
    const services = this.listServices(coordinator).flatMap((service) =>
      this.createServiceReport(service, coordinator, now),
    );
    if (services.length === 0) return true;
    const judgeIncarnation = coordinator.incarnation;
    const revision = this.options.activePreset.state?.revision ?? 0;
    const result = await link.sendReport(
      { reporter, failureDomain, judgeIncarnation, revision, services },
      now + reportDeadlineMs,
    );
    if (!result.ok) return false;
    result.value.forEach(({ service, slowBoundMs }) =>
      this.collector.setSlowBound(service, slowBoundMs),
    );
    return true;
  }

  private createServiceReport(
    service: string,
    coordinator: HostRecord,
    now: number,
  ): readonly ServiceReport[] {
    const upstreams = this.collector.takeEvidence(service, now);
    const isDue = now - (this.leaseGrantedAt.get(service) ?? 0) >= leaseIntervalMs;
    if (upstreams.length === 0 && !isDue) return [];
    const grantedUntil = this.leases.grantLease(service, coordinator, now);
    this.leaseGrantedAt.set(service, now);
    return [{ service, grantedUntil, upstreams }];
  }

  private listServices(coordinator: HostRecord): readonly string[] {
    const key = this.getTaskKey(coordinator);
    return [...this.assignment].flatMap(([service, record]) =>
      this.getTaskKey(record) === key ? [service] : [],
    );
  }

  // Chooses the coordinators again only when the hosts or services have changed, because the choice
  // computes a hash for each pair of service and host.
  private updateAssignment(): void {
    const { clock, hosts, activePreset } = this.options;
    const now = clock.now();
    const services = Object.keys(activePreset.state?.preset.services ?? {});
    const reachableHosts = hosts
      .listHosts(now)
      .filter(({ host }) => (this.unreachableUntil.get(host) ?? 0) <= now);
    const key = JSON.stringify([
      services,
      reachableHosts.map(({ host, incarnation, state, peerAddress }) => [
        host,
        incarnation,
        state,
        peerAddress,
      ]),
    ]);
    if (key === this.assignmentKey) return;
    this.assignmentKey = key;
    this.assignment = new Map(
      services.flatMap((service) => {
        const coordinator = chooseCoordinator(service, reachableHosts);
        return coordinator ? [[service, coordinator] as const] : [];
      }),
    );
  }

  private getTaskKey({ host, incarnation, peerAddress }: HostRecord): string {
    return `${host}/${incarnation}/${peerAddress}`;
  }
}
