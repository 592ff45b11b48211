import { accountLifeMs, createAccount } from '../../domain/teams/QuotaCounts.ts';
import type { QuotaCounts, QuotaRow } from '../../domain/teams/QuotaCounts.ts';

/** Requests of one team at this host, and what of it the other hosts were told. */
export default class OwnCounts {
  private account: number;

  private admitted = 0;

  private asked = 0;

  /** What was told of the account. */
  private told: QuotaCounts = { admitted: 0, asked: 0 };

  /** Told requests that no digest of the hub can have included yet. */
  private toldSinceDigest: QuotaCounts = { admitted: 0, asked: 0 };

  private usedAt: number;

  constructor(now: number) {
    this.account = createAccount(now);
    this.usedAt = now;
  }

  /** Requests that the other hosts were not told about. */
  get untold(): number {
    return this.asked - this.told.asked + Math.max(0, this.admitted - this.told.admitted);
  }

  /** Instant of the last request. */
  get lastAt(): number {
    return this.usedAt;
  }

  /** Counts a request. After a long time without any, others may have forgotten the account. */
  addRequest(isAdmitted: boolean, now: number): void {
    if (now >= this.usedAt + accountLifeMs) {
      this.account = createAccount(now);
      this.admitted = 0;
      this.asked = 0;
      this.told = { admitted: 0, asked: 0 };
    }
    this.usedAt = now;
    this.asked += 1;
    if (isAdmitted) this.admitted += 1;
  }

  /** Takes back an admitted request; the others see it when this host admits the next one. */
  releaseRequest(): void {
    this.admitted = Math.max(0, this.admitted - 1);
  }

  /** The totals, which never fall. */
  readRow(): QuotaRow {
    const { account, admitted, asked, told } = this;
    return { account, admitted: Math.max(told.admitted, admitted), asked };
  }

  /** Returns the totals, which are about to be told to all others. */
  takeRow(): QuotaRow {
    const { told, toldSinceDigest } = this;
    const next = this.readRow();
    this.toldSinceDigest = {
      admitted: toldSinceDigest.admitted + next.admitted - told.admitted,
      asked: toldSinceDigest.asked + next.asked - told.asked,
    };
    this.told = next;
    return next;
  }

  /** Returns what was told since the last digest and forgets it. */
  takeTold(): QuotaCounts {
    const told = this.toldSinceDigest;
    this.toldSinceDigest = { admitted: 0, asked: 0 };
    return told;
  }
}
