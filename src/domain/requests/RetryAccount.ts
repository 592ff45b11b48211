/** Time after its decision in which a retry is sent: enough to connect. */
export const sendMs = 500;
// A retry arrives at its upstream up to this long after its decision: a lost packet is sent again.
const arrivalMs = sendMs + 250;
// A request earns a share of a retry, which is lost unless it is used within this time. Otherwise
// hosts could use in one window what they earned in several.
const earnedMs = 2000;
// Retries beyond the share that are lent are used within this time.
const loanMs = 1000;
/** Time after the end of a window by which all retries that were taken in it have arrived. */
export const settleMs = arrivalMs + loanMs;
// Loans are made in this fraction of a retry.
const partsPerRetry = 1000;
// Sums of fractions are exact to far less.
const tolerance = 1e-6;

/** Retries of one host, or the sum over several, for a service. */
export interface RetryBalance {
  /** Retries that were used in the newest window. */
  readonly used: number;
  /** Retries that may be used now; may be a fraction. */
  readonly left: number;
}

/** Options of an account. */
export interface RetryAccountOptions {
  /** Allowed retries per request in any window. */
  readonly share: number;
  readonly windowMs: number;
  /** Instant from which this host may use its part of the retries beyond the share. */
  readonly opensAt: number;
}

/** Retries, and the instant until which they count or may be used. */
export interface RetryAmount {
  readonly retries: number;
  readonly until: number;
}

function computeSum(amounts: readonly RetryAmount[]): number {
  return amounts.reduce((sum, { retries }) => sum + retries, 0);
}

/** Takes retries from the amounts in their order. */
function splitAmounts(amounts: readonly RetryAmount[], retries: number) {
  let missing = retries;
  const parts = amounts.map(({ retries: available, until }) => {
    const taken = Math.min(available, missing);
    missing -= taken;
    return { taken: { retries: taken, until }, left: { retries: available - taken, until } };
  });
  const isSome = (amount: RetryAmount): boolean => amount.retries > 0;
  return {
    taken: parts.map(({ taken }) => taken).filter(isSome),
    left: parts.map(({ left }) => left).filter(isSome),
  };
}

/**
 * What one host may spend on retries of a service, whether it hears other hosts or not: what its
 * own requests earn, and its part of the retries that are allowed beyond their share. Hosts lend
 * each other what they don't need, so the sum over all hosts stays the same.
 */
export default class RetryAccount {
  private readonly options: RetryAccountOptions;

  /** What requests earned and what other hosts lent, as far as it was not used; oldest first. */
  private credits: readonly RetryAmount[] = [];

  /** What was used or lent of the retries beyond the share, until it has left every window. */
  private extraUsed: readonly RetryAmount[] = [];

  /** Retries that this host used in the newest window. */
  private used: readonly RetryAmount[] = [];

  constructor(options: RetryAccountOptions) {
    this.options = options;
  }

  addRequest(now: number): void {
    const { share, windowMs } = this.options;
    // The retries of one window may have been earned in this longer time.
    const earningMs = windowMs + earnedMs + arrivalMs;
    const retries = (share * windowMs) / earningMs;
    if (retries > 0) this.addCredit({ retries, until: now + earnedMs });
  }

  /** Adds retries that another host lent. */
  addCredit(credit: RetryAmount): void {
    this.credits = [...this.credits, credit].sort((first, second) => first.until - second.until);
  }

  /** What was used and what is left, with a part of `extra` retries beyond the share. */
  readBalance(extra: number, now: number): RetryBalance {
    this.dropExpired(now);
    return {
      used: computeSum(this.used),
      left: computeSum(this.credits) + this.computeExtraLeft(extra, now),
    };
  }

  /** Part of a retry that has to be borrowed before one can be taken; 0 if none. */
  computeMissing(extra: number, now: number): number {
    const missing = 1 - this.readBalance(extra, now).left;
    return missing > tolerance ? Math.ceil(missing * partsPerRetry) / partsPerRetry : 0;
  }

  /** Takes one retry; returns false if less is left. */
  takeRetry(extra: number, now: number): boolean {
    if (this.computeMissing(extra, now) > 0) return false;
    this.takeRetries(1, now);
    this.used = [...this.used, { retries: 1, until: now + this.options.windowMs }];
    return true;
  }

  /** Takes up to `retries` for another host, which may use them until the instant returned. */
  lendRetries(retries: number, extra: number, now: number): RetryAmount {
    const possible = Math.min(retries, this.readBalance(extra, now).left);
    const lent = Math.floor(possible * partsPerRetry + tolerance) / partsPerRetry;
    return { retries: lent, until: this.takeRetries(lent, now) };
  }

  /** Whether nothing in this account counts any more. */
  isIdle(now: number): boolean {
    this.dropExpired(now);
    return this.credits.length + this.extraUsed.length + this.used.length === 0;
  }

  private computeExtraLeft(extra: number, now: number): number {
    if (now < this.options.opensAt) return 0;
    return Math.max(0, extra - computeSum(this.extraUsed));
  }

  /** Takes credits, then retries beyond the share; returns until when all of them may be used. */
  private takeRetries(retries: number, now: number): number {
    const { windowMs } = this.options;
    const fromCredits = Math.min(retries, computeSum(this.credits));
    const { taken, left } = splitAmounts(this.credits, fromCredits);
    this.credits = left;
    const fromExtra = retries - fromCredits;
    if (fromExtra > 0) {
      const until = now + windowMs + settleMs;
      this.extraUsed = [...this.extraUsed, { retries: fromExtra, until }];
    }
    return Math.min(now + loanMs, ...taken.map(({ until }) => until));
  }

  private dropExpired(now: number): void {
    const isCounted = ({ until }: RetryAmount): boolean => until > now;
    this.credits = this.credits.filter(isCounted);
    this.extraUsed = this.extraUsed.filter(isCounted);
    this.used = this.used.filter(isCounted);
  }
}
