import { maxClockSkewMs } from './leaseTimes.ts';

/** A coordinator lease that one reporter granted. */
export interface ReporterLease {
  readonly reporter: string;
  /** Deadline by the reporter's clock. */
  readonly deadline: number;
  /** Preset revision that was active at the reporter when it granted the lease. */
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
   * hosts still recognises this coordinator, minus the maximum clock skew. Returns 0 when there are
   * fewer leases. Leases of reporters whose preset is newer than the coordinator's revision don't
   * count: otherwise the coordinator could apply an old floor after a majority has moved to a newer
   * preset.
   */
  computeLatestDeadline(requiredLeases: number, revision: number): number {
    const deadlines = [...this.leases.values()]
      .filter((lease) => lease.revision <= revision)
      .map(({ deadline }) => deadline)
      .sort((a, b) => b - a);
    const quorumDeadline = deadlines[requiredLeases - 1];
    return quorumDeadline === undefined ? 0 : quorumDeadline - maxClockSkewMs;
  }

  /** Removes leases that expired before the given instant. */
  dropExpired(before: number): void {
    this.leases.forEach(({ deadline, reporter }) => {
      if (deadline < before) this.leases.delete(reporter);
    });
  }
}
