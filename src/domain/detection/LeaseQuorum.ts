import { maxClockSkewMs } from './leaseTimes.ts';

/** One lease of one reporter. */
export interface ReporterLease {
  readonly reporter: string;
  /** In the reporter's time. */
  readonly deadline: number;
  /** Preset revision that the reporter had when it gave the lease. */
  readonly revision: number;
}

/** The leases that a coordinator holds for one service. */
export default class LeaseQuorum {
  private readonly leases = new Map<string, ReporterLease>();

  recordLease(lease: ReporterLease): void {
    const current = this.leases.get(lease.reporter);
    if (!current || current.deadline < lease.deadline) this.leases.set(lease.reporter, lease);
  }

  /**
   * Latest deadline that an ejection may have: the last instant at which the needed number of entry
   * hosts still recognises this coordinator, minus the clock allowance. Returns 0 with fewer
   * leases. Leases of reporters with a newer preset than the coordinator's revision don't count:
   * the coordinator would go on with an older floor after a majority has left it.
   */
  computeLatestDeadline(needed: number, revision: number): number {
    const latest = [...this.leases.values()]
      .filter((lease) => lease.revision <= revision)
      .map(({ deadline }) => deadline)
      .sort((a, b) => b - a);
    const ofMajority = latest[needed - 1];
    return ofMajority === undefined ? 0 : ofMajority - maxClockSkewMs;
  }

  /** Forgets leases that ended long ago. */
  dropExpired(before: number): void {
    this.leases.forEach(({ deadline, reporter }) => {
      if (deadline < before) this.leases.delete(reporter);
    });
  }
}
