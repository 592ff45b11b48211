import pruneMap from '../../domain/collections/pruneMap.ts';
import ReportedCounts from '../../domain/teams/ReportedCounts.ts';
import { accountLifeMs, createAccount, repeatedRowsMs } from '../../domain/teams/QuotaCounts.ts';
import type { QuotaReport, QuotaRow } from '../../domain/teams/QuotaCounts.ts';

interface TeamSum extends QuotaRow {
  /** Instant of the last change. */
  readonly changedAt: number;
}

/** Requests of teams, summed up over the entry hosts that report to a hub. */
export default class QuotaSums {
  /** Reports of each host, by address. */
  private readonly hosts = new Map<string, ReportedCounts>();

  private readonly sums = new Map<string, TeamSum>();

  /** Teams whose sum has changed since the last digest. */
  private readonly changed = new Set<string>();

  get hasChanged(): boolean {
    return this.changed.size > 0;
  }

  /** Adds the report of an entry host. */
  acceptReport({ rows }: QuotaReport, from: string, now: number): void {
    const counts = this.hosts.get(from) ?? new ReportedCounts(now);
    this.hosts.set(from, counts);
    counts.recordMessage(now);
    Object.entries(rows).forEach(([team, row]) => {
      const counted = counts.recordRow(team, row, now);
      if (!counted || counted.asked + counted.admitted === 0) return;
      const sum = this.sums.get(team) ?? this.createSum(now);
      const admitted = sum.admitted + counted.admitted;
      const asked = sum.asked + counted.asked;
      this.sums.set(team, { account: sum.account, admitted, asked, changedAt: now });
      this.changed.add(team);
    });
  }

  /** Addresses of the hosts whose requests are in the sum; only they may use it. */
  listHosts(now: number): ReadonlySet<string> {
    pruneMap(this.hosts, (counts) => counts.isLost(now));
    return new Set(this.hosts.keys());
  }

  /** Takes the sums that have changed, or with `isRepeat` those that have changed lately. */
  takeDigest(isRepeat: boolean, now: number): QuotaReport {
    pruneMap(this.sums, ({ changedAt }) => changedAt + accountLifeMs <= now);
    this.hosts.forEach((counts) => counts.pruneOld(now));
    const isTold = ([team, { changedAt }]: readonly [string, TeamSum]): boolean =>
      this.changed.has(team) || (isRepeat && changedAt + repeatedRowsMs > now);
    const rows = [...this.sums]
      .filter(isTold)
      .map(([team, { account, admitted, asked }]) => [team, { account, admitted, asked }] as const);
    this.changed.clear();
    return {
      rows: Object.fromEntries(rows),
      hosts: [...this.hosts.values()].filter((counts) => counts.isHeard(now)).length,
    };
  }

  private createSum(now: number): TeamSum {
    return { account: createAccount(now), admitted: 0, asked: 0, changedAt: now };
  }
}
