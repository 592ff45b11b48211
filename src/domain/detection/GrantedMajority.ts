import { clockAllowanceMs } from './clockAllowance.ts';

/** One grant of one reporter. */
export interface ReporterGrant {
  readonly reporter: string;
  /** In the reporter's time. */
  readonly deadline: number;
  /** Preset revision that the reporter had when it gave the grant. */
  readonly revision: number;
}

/** The grants that a judge holds for one service. */
export default class GrantedMajority {
  private readonly grants = new Map<string, ReporterGrant>();

  recordGrant(grant: ReporterGrant): void {
    const held = this.grants.get(grant.reporter);
    if (!held || held.deadline < grant.deadline) this.grants.set(grant.reporter, grant);
  }

  /**
   * Latest deadline that an ejection may have: the last instant at which the needed number of entry
   * hosts still recognises this judge, minus the clock allowance. Returns 0 with fewer grants.
   * Grants of reporters with a newer preset than the judge's revision don't count: the judge would
   * go on with an older floor after a majority has left it.
   */
  computeLatestDeadline(needed: number, revision: number): number {
    const latest = [...this.grants.values()]
      .filter((grant) => grant.revision <= revision)
      .map(({ deadline }) => deadline)
      .sort((a, b) => b - a);
    const ofMajority = latest[needed - 1];
    return ofMajority === undefined ? 0 : ofMajority - clockAllowanceMs;
  }

  /** Forgets grants that ended long ago. */
  dropOld(before: number): void {
    this.grants.forEach(({ deadline, reporter }) => {
      if (deadline < before) this.grants.delete(reporter);
    });
  }
}
