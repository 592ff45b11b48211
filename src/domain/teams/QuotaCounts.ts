/** Requests of one team that a host, or all hosts that report to a hub, handled. */
export interface QuotaCounts {
  /** Requests that were admitted and may have run. */
  readonly admitted: number;
  /** Requests that were admitted or refused. */
  readonly asked: number;
}

/** Totals of one team since the account began. */
export interface QuotaRow extends QuotaCounts {
  /** Tells accounts apart whose totals began at 0 at different times, for example at a restart. */
  readonly account: number;
  /** Requests that the quota allows at once; undefined unless a host that starts asked for it. */
  readonly level?: number | undefined;
}

/** Requests of teams, as hosts report them to each other. */
export interface QuotaReport {
  /** By team. */
  readonly rows: Readonly<Record<string, QuotaRow>>;
  /** Hosts whose counts a digest sums up; undefined in the report of a host. */
  readonly hosts?: number | undefined;
  /** Whether this answers a host that starts: teams without a row have all of their quota. */
  readonly hasLevels?: boolean | undefined;
}

/** Accounts are below this number. */
export const accountLimit = 1_000_000;

/** Returns the number of an account that begins now. */
export function createAccount(now: number): number {
  return Math.floor(now) % accountLimit;
}

/** An account without requests for this long ends, in milliseconds. */
export const accountLifeMs = 8000;

/** Rows of accounts with requests in this time are repeated, in milliseconds. */
export const repeatedRowsMs = 3000;

/**
 * Totals of a host or hub that was not heard for this long are learned again, in milliseconds. All
 * hosts send a message each second.
 */
export const silenceMs = 1600;
