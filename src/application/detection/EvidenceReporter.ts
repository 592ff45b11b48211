import chooseJudge from '../../domain/detection/chooseJudge.ts';
import EvidenceCollector from '../../domain/detection/EvidenceCollector.ts';
import JudgeGrants from '../../domain/detection/JudgeGrants.ts';
import type HostRecord from '../../domain/membership/HostRecord.ts';
import type HostSource from '../../domain/membership/HostSource.ts';
import type AnswerObservation from '../../domain/requests/AnswerObservation.ts';
import type Clock from '../../ports/Clock.ts';
import type DetectionLink from '../../ports/DetectionLink.ts';
import type { DetectionLinkOpener, ServiceReport } from '../../ports/DetectionLink.ts';
import type Log from '../../ports/Log.ts';
import type ActivePreset from '../requests/ActivePreset.ts';
import type AnswerObserver from '../requests/AnswerObserver.ts';
import type { OpenRequest } from '../requests/AnswerObserver.ts';
import type HostIdentity from './HostIdentity.ts';

const reportIntervalMs = 250;
const reportDeadlineMs = 500;
// Without traffic a grant alone is sent; a third of its time leaves room for lost reports.
const grantIntervalMs = 1000;
// After this many failed reports in a row another judge is chosen for a while.
const mostFailedReports = 4;
const unreachableMs = 10_000;

/** What the reporter needs. */
export interface EvidenceReporterOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly self: HostIdentity;
  readonly activePreset: ActivePreset;
  readonly hosts: HostSource;
  /** Link to the judge of this host. */
  readonly ownLink: DetectionLink;
  readonly opener: DetectionLinkOpener;
  /** The promises of this process; the default starts with it. */
  readonly grants?: JudgeGrants;
}

/** Reports evidence and grants to the judge of each service, with one task for each judge. */
export default class EvidenceReporter implements AnswerObserver {
  private readonly options: EvidenceReporterOptions;

  private readonly collector = new EvidenceCollector();

  private readonly grants: JudgeGrants;

  private readonly tasks = new Map<string, Promise<void>>();

  private readonly unreachableUntil = new Map<string, number>();

  private readonly grantedAt = new Map<string, number>();

  private assignment = new Map<string, HostRecord>();

  private assignmentKey = '';

  constructor(options: EvidenceReporterOptions) {
    this.options = options;
    this.grants = options.grants ?? new JudgeGrants({ startedAt: options.clock.now() });
  }

  recordStart(request: OpenRequest): void {
    this.collector.recordStart(request);
  }

  recordEnd(requestId: string, observation: AnswerObservation): void {
    this.collector.recordEnd(requestId, observation);
  }

  /** Reports until the signal aborts; resolves when the tasks of all judges have ended. */
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
    new Set(this.assignment.values()).forEach((judge) => {
      const key = this.getTaskKey(judge);
      if (this.tasks.has(key)) return;
      const ended = this.runTask(judge, signal)
        .catch((error: Error) =>
          this.options.log.error('detection: reporting to a judge failed', {
            judge: judge.host,
            error: error.message,
          }),
        )
        .finally(() => this.tasks.delete(key));
      this.tasks.set(key, ended);
    });
  }

  // The task of one judge; it ends when the judge has no service left.
  private async runTask(judge: HostRecord, signal: AbortSignal): Promise<void> {
    const { clock, log, self, ownLink, opener } = this.options;
    const link = judge.host === self.host ? ownLink : opener.openLink(judge);
    log.debug('detection: reporting to a judge', { judge: judge.host });
    let failed = 0;
    while (!signal.aborted && this.listServices(judge).length > 0) {
      const now = clock.now();
      const result = await this.sendReport(link, judge, now);
      failed = result ? 0 : failed + 1;
      if (failed === mostFailedReports) {
        this.unreachableUntil.set(judge.host, clock.now() + unreachableMs);
        log.warn('detection: a judge is unreachable', { judge: judge.host });
        break;
      }
      await clock.sleepUntil(now + reportIntervalMs, signal);
    }
    if (link !== ownLink) link.close();
    log.debug('detection: reporting to a judge ended', { judge: judge.host });
  }

  // Evidence of a report that failed is not sent again, because it may have arrived.
  private async sendReport(link: DetectionLink, judge: HostRecord, now: number): Promise<boolean> {
    const { host: reporter, failureDomain } = this.options.self;
    const services = this.listServices(judge).flatMap((service) =>
      this.createPart(service, judge, now),
    );
    if (services.length === 0) return true;
    const judgeIncarnation = judge.incarnation;
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

  private createPart(service: string, judge: HostRecord, now: number): readonly ServiceReport[] {
    const upstreams = this.collector.takeEvidence(service, now);
    const isDue = now - (this.grantedAt.get(service) ?? 0) >= grantIntervalMs;
    if (upstreams.length === 0 && !isDue) return [];
    const grantedUntil = this.grants.grantJudge(service, judge, now);
    this.grantedAt.set(service, now);
    return [{ service, grantedUntil, upstreams }];
  }

  private listServices(judge: HostRecord): readonly string[] {
    const key = this.getTaskKey(judge);
    return [...this.assignment].flatMap(([service, record]) =>
      this.getTaskKey(record) === key ? [service] : [],
    );
  }

  // Hashes again only when the hosts or services changed.
  private updateAssignment(): void {
    const { clock, hosts, activePreset } = this.options;
    const now = clock.now();
    const services = Object.keys(activePreset.state?.preset.services ?? {});
    const live = hosts
      .listHosts(now)
      .filter(({ host }) => (this.unreachableUntil.get(host) ?? 0) <= now);
    const key = JSON.stringify([
      services,
      live.map(({ host, incarnation, state, peerAddress }) => [
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
        const judge = chooseJudge(service, live);
        return judge ? [[service, judge] as const] : [];
      }),
    );
  }

  private getTaskKey({ host, incarnation, peerAddress }: HostRecord): string {
    return `${host}/${incarnation}/${peerAddress}`;
  }
}
