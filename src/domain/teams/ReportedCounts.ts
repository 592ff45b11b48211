import pruneMap from '../collections/pruneMap.ts';
import { silenceMs } from './QuotaCounts.ts';
import type { QuotaCounts, QuotaRow } from './QuotaCounts.ts';

// Longer than an account without requests lives, so that the totals of a known source that appears
// for the first time after it are those of a new account.
const learnMs = 10_000;
// Longer than the life of an account as well, so that a total is never counted twice.
const rowLifeMs = 20_000;
// A source that sends often is missed sooner, since what it admits meanwhile is not known. All
// hosts send a message each second, so that one that has no requests is not missed.
const reportPatience: SourcePatience = { missedMessages: 5, minSilenceMs: 1100 };
// Part of the newest interval between two messages in the mean.
const newestShare = 0.2;

/** When a source counts as silent, at the latest after `silenceMs`. */
export interface SourcePatience {
  /** Messages at the usual intervals that do not come. */
  readonly missedMessages: number;
  /** Shortest silence, in milliseconds. */
  readonly minSilenceMs: number;
}

interface KnownRow extends QuotaRow {
  readonly until: number;
}

/** What one host or hub last reported of each team. */
export default class ReportedCounts {
  private readonly rows = new Map<string, KnownRow>();

  private readonly learnedAt: number;

  private heard: number;

  /** Mean time between two messages. */
  private intervalMs = silenceMs;

  private readonly patience: SourcePatience;

  constructor(now: number, patience: SourcePatience = reportPatience) {
    this.patience = patience;
    this.learnedAt = now + learnMs;
    this.heard = now;
  }

  /** Instant of the last message of this source. */
  get heardAt(): number {
    return this.heard;
  }

  /** Whether the source sends messages as often as before. */
  isHeard(now: number): boolean {
    const { missedMessages, minSilenceMs } = this.patience;
    const usualMs = missedMessages * this.intervalMs;
    return now < this.heard + Math.min(silenceMs, Math.max(minSilenceMs, usualMs));
  }

  /** Whether the source was silent for so long that its totals have to be learned again. */
  isLost(now: number): boolean {
    return now >= this.heard + silenceMs;
  }

  /** Records that a message of this source arrived. */
  recordMessage(now: number): void {
    this.intervalMs += newestShare * (now - this.heard - this.intervalMs);
    this.heard = now;
  }

  /** Returns the requests that are new in a row; undefined if that is not known. */
  recordRow(team: string, row: QuotaRow, now: number): QuotaCounts | undefined {
    const known = this.rows.get(team);
    if (known?.account === row.account) {
      const admitted = Math.max(known.admitted, row.admitted);
      const asked = Math.max(known.asked, row.asked);
      const isChanged = admitted > known.admitted || asked > known.asked;
      const until = isChanged ? now + rowLifeMs : known.until;
      this.rows.set(team, { account: row.account, admitted, asked, until });
      return { admitted: admitted - known.admitted, asked: asked - known.asked };
    }
    this.rows.set(team, { ...row, until: now + rowLifeMs });
    const isLearning = !known && now < this.learnedAt;
    return isLearning ? undefined : { admitted: row.admitted, asked: row.asked };
  }

  /** Removes rows that have not changed for a long time. */
  pruneOld(now: number): void {
    pruneMap(this.rows, ({ until }) => until <= now);
  }
}
