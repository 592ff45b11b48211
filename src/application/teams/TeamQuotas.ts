import pruneMap from '../../domain/collections/pruneMap.ts';
import type { TeamSettings } from '../../domain/presets/Preset.ts';
import ReportedCounts from '../../domain/teams/ReportedCounts.ts';
import type { CreditDecision } from '../../domain/teams/SharedCredit.ts';
import { accountLifeMs, repeatedRowsMs, silenceMs } from '../../domain/teams/QuotaCounts.ts';
import type { QuotaCounts, QuotaReport, QuotaRow } from '../../domain/teams/QuotaCounts.ts';
import type { CreditLimits, QuotaSettings } from '../../domain/teams/computeCreditLimits.ts';
import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';
import type RandomSource from '../../ports/RandomSource.ts';
import type QuotaLedger from './QuotaLedger.ts';
import TeamLimits from './TeamLimits.ts';
import TeamQuota from './TeamQuota.ts';

// Counts of a team that is near its limit are told within this time.
const scarceReportMs = 50;
// Without a digest for this long, the other hosts have to be told directly.
const hubSilenceMs = 1200;
// Digests come at regular times, so that a few that are missing show that the hub is not heard.
const digestPatience = { missedMessages: 3, minSilenceMs: 600 };
const pruneMs = 1000;
// The hosts of a fleet start and hear each other within this time.
const firstStartMs = 5000;

/** Options of the quotas. */
export interface TeamQuotasOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: RandomSource;
  readonly settings: QuotaSettings;
  /** Teams of the active preset; undefined if it has none. */
  readonly readTeams: () => readonly TeamSettings[] | undefined;
  readonly failureDomains: number;
  /** Most entry hosts that the failure domain of this host has had. */
  readonly countHosts: () => number;
  /** Whether no process of the fleet has run before, so that none can have used quotas. */
  readonly isFirstStart: boolean;
}

/** What was decided about a request of a team with a limit. */
export interface QuotaDecision extends CreditDecision {
  readonly requestsPerSecond: number;
  readonly burst: number;
  /** Hosts that share the part, including this one. */
  readonly hosts: number;
  /** Instant at which the caller of a refused request should come back. */
  readonly retryAt: number;
  /** Takes back an admitted request that did not run. */
  readonly releaseRequest: () => void;
}

interface HeardHub {
  readonly address: string;
  readonly counts: ReportedCounts;
  /** Hosts whose reports its digests sum up. */
  hosts: number;
}

/** Decides which requests of teams may run, together with the hosts of the failure domain. */
export default class TeamQuotas implements QuotaLedger {
  private readonly options: TeamQuotasOptions;

  private readonly limits: TeamLimits;

  /** Quotas of the teams that sent requests lately, by name. */
  private readonly quotas = new Map<string, TeamQuota>();

  /** Other hosts that report to this one directly, by address. */
  private readonly peers = new Map<string, ReportedCounts>();

  private hub: HeardHub | undefined;

  /** Instant from which teams without requests have all of their credit. */
  private opensAt: number;

  /** Until then, hosts of a fleet that starts for the first time hear each other first. */
  private readonly startsUntil: number;

  private readonly startedAt: number;

  private onDue: (dueAt: number) => void = () => undefined;

  private presetChanges = 0;

  private hosts = 1;

  private part = 0;

  private prunedAt = -Infinity;

  constructor(options: TeamQuotasOptions) {
    const { clock, settings, isFirstStart, readTeams } = options;
    this.options = options;
    this.limits = new TeamLimits({ settings, readTeams });
    this.startsUntil = isFirstStart ? clock.now() + firstStartMs : -Infinity;
    this.startedAt = clock.now();
    // Requests of an earlier process of this host have left the window by then.
    this.opensAt = isFirstStart ? -Infinity : clock.now() + settings.windowMs + silenceMs;
  }

  get isActive(): boolean {
    return this.limits.hasLimits;
  }

  get presenceAt(): number {
    return this.hub && this.isActive ? this.hub.counts.heardAt + hubSilenceMs : Infinity;
  }

  /** Number of teams whose requests are counted. */
  get teamCount(): number {
    return this.quotas.size;
  }

  setOnDue(onDue: (dueAt: number) => void): void {
    this.onDue = onDue;
  }

  /** Decides about a request of a team; undefined if the team has no limit. */
  admitRequest(team: string): QuotaDecision | undefined {
    const { clock, random } = this.options;
    const now = clock.now();
    this.applyChanges(now);
    const limit = this.limits.findLimit(team);
    if (!limit) return undefined;
    const quota = this.getQuota(team, now);
    const { credit, own } = quota;
    const decision = credit.admitRequest(now, random.next());
    own.addRequest(decision.isAdmitted, now);
    if (credit.isScarce) this.onDue(now + scarceReportMs);
    const { requestsPerSecond, burst } = limit;
    return {
      ...decision,
      ...{ requestsPerSecond, burst, hosts: this.hosts },
      retryAt: decision.isAdmitted ? now : credit.drawRetryTime(now, random.next()),
      releaseRequest: () => {
        credit.releaseRequest(clock.now());
        own.releaseRequest();
      },
    };
  }

  takeReport(options: {
    readonly isRepeat: boolean;
    readonly maxRows: number;
  }): QuotaReport | undefined {
    const { isRepeat, maxRows } = options;
    if (!this.isActive) return undefined;
    const now = this.options.clock.now();
    const isTold = ({ own }: TeamQuota): boolean =>
      own.untold > 0 || (isRepeat && own.lastAt > now - repeatedRowsMs);
    const rows = [...this.quotas]
      .filter(([, quota]) => isTold(quota))
      .sort(([, first], [, second]) => second.own.untold - first.own.untold)
      .slice(0, maxRows)
      .map(([team, { own }]): [string, QuotaRow] => [team, own.takeRow()]);
    return rows.length > 0 || isRepeat ? { rows: Object.fromEntries(rows) } : undefined;
  }

  readLevels(): QuotaReport | undefined {
    const now = this.options.clock.now();
    if (!this.isActive || now < this.opensAt) return undefined;
    this.applyChanges(now);
    const rows = [...this.quotas].map(([team, { credit, own }]): [string, QuotaRow] => [
      team,
      { ...own.readRow(), level: Math.floor(credit.readLevel(now)) },
    ]);
    return { rows: Object.fromEntries(rows), hasLevels: true };
  }

  acceptReport(report: QuotaReport, from: string, isDigest: boolean): void {
    if (!this.isActive) return;
    const now = this.options.clock.now();
    this.applyChanges(now);
    if (isDigest) this.acceptDigest(report, from, now);
    else this.acceptPeer(report, from, now);
    if (report.hasLevels) this.acceptLevels(report, from, now);
    this.updateGroup(now);
  }

  private acceptDigest({ rows, hosts = 1 }: QuotaReport, from: string, now: number): void {
    const isKnown = this.hub?.address === from;
    const hub = isKnown && this.hub ? this.hub : this.createHub(from, now);
    this.hub = hub;
    hub.hosts = hosts;
    // What the others used while this host had a part of its own is not charged to it.
    const wasHeard = isKnown && hub.counts.isHeard(now);
    hub.counts.recordMessage(now);
    const sums = this.recordRows(hub.counts, rows, now);
    this.quotas.forEach((quota, team) => {
      const isSilent = !Object.hasOwn(rows, team);
      const sum = isSilent ? { admitted: 0, asked: 0 } : sums.get(team);
      quota.recordDigest(wasHeard ? sum : undefined, now);
    });
  }

  private acceptPeer({ rows }: QuotaReport, from: string, now: number): void {
    const counts = this.peers.get(from) ?? new ReportedCounts(now);
    this.peers.set(from, counts);
    counts.recordMessage(now);
    const news = this.recordRows(counts, rows, now);
    // Hosts that this one hears through the hub may also report directly.
    if (this.hub?.counts.isHeard(now)) return;
    const share = 1 / this.peers.size;
    this.quotas.forEach(({ credit }, team) =>
      credit.recordOthers(news.get(team) ?? { admitted: 0, asked: 0 }, share, now),
    );
  }

  /** Records the rows of teams with a limit; returns the new requests as far as they are known. */
  private recordRows(
    counts: ReportedCounts,
    rows: QuotaReport['rows'],
    now: number,
  ): ReadonlyMap<string, QuotaCounts> {
    const news = new Map<string, QuotaCounts>();
    Object.entries(rows)
      .filter(([team]) => this.limits.findLimit(team))
      .forEach(([team, row]) => {
        this.getQuota(team, now);
        const counted = counts.recordRow(team, row, now);
        if (counted) news.set(team, counted);
      });
    return news;
  }

  /** Another host tells what the teams have left, as this host starts. */
  private acceptLevels({ rows }: QuotaReport, from: string, now: number): void {
    if (now >= this.opensAt) return;
    this.opensAt = now;
    this.updateGroup(now);
    this.options.log.info('requests: another host told the levels of the quotas', {
      from,
      teams: Object.keys(rows).length,
    });
    Object.entries(rows).forEach(([team, { level = 0 }]) => {
      if (this.limits.findLimit(team)) this.getQuota(team, now).credit.useLevel(level, now);
    });
  }

  private createHub(address: string, now: number): HeardHub {
    this.quotas.forEach(({ own }) => own.takeTold());
    return { address, counts: new ReportedCounts(now, digestPatience), hosts: 1 };
  }

  /** Applies a new preset and the silence of other hosts. */
  private applyChanges(now: number): void {
    const presetChanges = this.limits.applyPreset();
    if (presetChanges !== this.presetChanges) {
      this.presetChanges = presetChanges;
      this.quotas.forEach(({ credit }, team) => {
        const limit = this.limits.findLimit(team);
        if (limit) credit.useLimits(limit.credit, now);
        else this.quotas.delete(team);
      });
    }
    this.updateGroup(now);
    if (now < this.prunedAt + pruneMs) return;
    this.prunedAt = now;
    const lifeMs = Math.max(accountLifeMs, this.options.settings.windowMs + silenceMs);
    pruneMap(this.quotas, ({ credit }) => credit.usedAt + lifeMs <= now);
    [this.hub?.counts, ...this.peers.values()].forEach((counts) => counts?.pruneOld(now));
  }

  /** Hosts that are silent leave the group; this host uses its part with the others. */
  private updateGroup(now: number): void {
    pruneMap(this.peers, (counts) => counts.isLost(now));
    if (this.hub?.counts.isLost(now)) this.hub = undefined;
    const hosts = this.countHeard(now);
    if (hosts !== this.hosts) {
      const { log, countHosts } = this.options;
      const fields = { hosts, before: this.hosts, domainHosts: countHosts() };
      log.info('requests: the hosts that share quotas changed', fields);
    }
    this.hosts = hosts;
    const part = this.computePart(this.hosts);
    if (part === this.part) return;
    this.part = part;
    this.quotas.forEach(({ credit }) => credit.usePart(part, now < this.startsUntil, now));
  }

  /** Hosts that this one hears, directly or through the hub, including this one. */
  private countHeard(now: number): number {
    if (this.hub?.counts.isHeard(now)) return Math.max(1, this.hub.hosts);
    return 1 + [...this.peers.values()].filter((counts) => counts.isHeard(now)).length;
  }

  /** Part of some hosts of this failure domain in the quotas of the fleet. */
  private computePart(hosts: number): number {
    const { failureDomains, countHosts } = this.options;
    return hosts / Math.max(1, countHosts(), this.hosts) / Math.max(1, failureDomains);
  }

  /**
   * Credit of a team when this host has not heard what an earlier process used: what its own part
   * has earned since this process started, as nobody has used that.
   */
  private computeEarned({ requestsPerMs }: CreditLimits, now: number): number {
    return requestsPerMs * this.computePart(1) * Math.max(0, now - this.startedAt);
  }

  private getQuota(team: string, now: number): TeamQuota {
    const known = this.quotas.get(team);
    if (known) return known;
    const limits = this.limits.findLimit(team)?.credit;
    if (!limits) throw new Error(`team "${team}" has no limit`);
    const credit = now >= this.opensAt ? Infinity : this.computeEarned(limits, now);
    const quota = new TeamQuota({ limits, part: this.part, credit, now });
    this.quotas.set(team, quota);
    return quota;
  }
}
