import { clockAllowanceMs } from './clockAllowance.ts';

/** The grants that a judge holds for one service. */
export default class GrantedMajority {
  private readonly deadlines = new Map<string, number>();

  /** Records a grant; the deadline is in the reporter's time. */
  recordGrant(reporter: string, deadline: number): void {
    this.deadlines.set(reporter, Math.max(deadline, this.deadlines.get(reporter) ?? 0));
  }

  /**
   * Latest deadline that an ejection may have: the last instant at which a majority of the entry
   * hosts still recognises this judge, minus the clock allowance. Returns 0 without a majority.
   */
  computeLatestDeadline(entryHosts: number): number {
    const latest = [...this.deadlines.values()].sort((a, b) => b - a);
    const ofMajority = latest[Math.floor(entryHosts / 2)];
    return ofMajority === undefined ? 0 : ofMajority - clockAllowanceMs;
  }

  /** Forgets grants that ended long ago. */
  dropOld(before: number): void {
    this.deadlines.forEach((deadline, reporter) => {
      if (deadline < before) this.deadlines.delete(reporter);
    });
  }
}
