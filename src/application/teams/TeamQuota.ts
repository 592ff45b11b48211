import SharedCredit from '../../domain/teams/SharedCredit.ts';
import type { SharedCreditOptions } from '../../domain/teams/SharedCredit.ts';
import type { QuotaCounts } from '../../domain/teams/QuotaCounts.ts';
import OwnCounts from './OwnCounts.ts';

// A report that a digest does not include arrives at the hub before the next ones.
const pendingMs = 1000;

/** The quota of one team, as this host knows it. */
export default class TeamQuota {
  readonly credit: SharedCredit;

  readonly own: OwnCounts;

  /** Own requests that the others were told about and that no digest has included yet. */
  private pending = 0;

  private pendingUntil = -Infinity;

  constructor(options: SharedCreditOptions) {
    this.credit = new SharedCredit(options);
    this.own = new OwnCounts(options.now);
  }

  /** Charges what a digest sums up, apart from the requests of this host. */
  recordDigest(sum: QuotaCounts | undefined, now: number): void {
    const told = this.own.takeTold();
    if (this.pendingUntil <= now) this.pending = 0;
    // Without a sum, this host does not know which of its requests the hub counts.
    const others = sum ? sum.admitted - told.admitted - this.pending : 0;
    const hasPending = others < 0;
    if (hasPending && this.pending === 0) this.pendingUntil = now + pendingMs;
    this.pending = hasPending ? -others : 0;
    const asked = sum ? Math.max(0, sum.asked - told.asked) : 0;
    this.credit.recordOthers({ admitted: Math.max(0, others), asked }, 1, now);
  }
}
