import RecentRequests from './RecentRequests.ts';
import RequestRate from './RequestRate.ts';
import type { QuotaCounts } from './QuotaCounts.ts';
import type { CreditLimits } from './computeCreditLimits.ts';

// News of other hosts arrive within this time. If these are asked for more in it than is left, each
// request is admitted with such a probability that what all admit until then fits.
const newsMs = 400;
// Hosts that are silent leave the group after this time at least.
const silentMs = 1000;
// A host whose requests come faster than before assumes the same of the others, up to this factor.
const maxSurge = 8;
// Damps the factor, since few requests in a short time say little.
const surgePrior = 2;
// A group with less of its burst tells its counts sooner.
const scarceShare = 0.25;
// Many callers that come back at once would be refused again.
const minReturnMs = 50;

/** Options of the credit. */
export interface SharedCreditOptions {
  readonly limits: CreditLimits;
  /** Part of the limits that the hosts this host hears, including it, may use; 0 to 1. */
  readonly part: number;
  /** Requests that the group may admit at once, of the whole burst of its part at most. */
  readonly credit: number;
  readonly now: number;
}

/** What was decided about one request, and why. */
export interface CreditDecision {
  readonly isAdmitted: boolean;
  /** Requests that the group might have admitted at once. */
  readonly credit: number;
  /** Probability with which the request was admitted. */
  readonly chance: number;
  /** Part of the limits that the group may use. */
  readonly part: number;
  /** What other hosts are assumed to have admitted since they were last heard. */
  readonly assumed: number;
}

/**
 * Decides which requests of one team may run, as one of a group of hosts that hear each other. The
 * group has its part of a token bucket. Each host charges its own requests at once and those of the
 * others when it hears of them; until then it assumes that they go on as before.
 */
export default class SharedCredit {
  private limits: CreditLimits;

  private part: number;

  private credit: number;

  private updatedAt: number;

  /** Instant of the last request of the group that is known. */
  usedAt: number;

  /** What others are assumed to have admitted since they were last heard; already charged. */
  private assumed = 0;

  /** Admitted by the others, and asked of them. */
  private readonly othersAdmitted: RequestRate;

  private readonly othersAsked: RequestRate;

  private readonly ownAsked: RequestRate;

  /** Own requests per millisecond at the last news. */
  private ownExpected = 0;

  private ownSinceNews = 0;

  private newsAt: number;

  /** Requests of the group, as far as they are known. */
  private readonly recent = new RecentRequests(silentMs);

  constructor({ limits, part, credit, now }: SharedCreditOptions) {
    this.limits = limits;
    this.part = part;
    this.credit = Math.min(part * limits.burst, credit);
    this.updatedAt = now;
    this.usedAt = now;
    this.newsAt = now;
    this.othersAdmitted = new RequestRate(now);
    this.othersAsked = new RequestRate(now);
    this.ownAsked = new RequestRate(now);
  }

  /** Whether so much is used that the others should hear of it soon. */
  get isScarce(): boolean {
    return this.credit < scarceShare * this.part * this.limits.burst;
  }

  /** Requests that the group may admit at once. */
  readLevel(now: number): number {
    this.update(now);
    return Math.max(0, this.credit);
  }

  /** Decides about one request; `random` is from 0 up to 1. */
  admitRequest(now: number, random: number): CreditDecision {
    this.update(now);
    this.ownAsked.addRequests(1, now);
    this.ownSinceNews += 1;
    this.usedAt = now;
    const { credit, part, assumed } = this;
    const chance = this.computeChance();
    const isAdmitted = random < chance;
    // A fraction of a request is used up whether the request was lucky or not.
    if (credit > 0 && credit < 1) this.credit -= chance;
    else if (isAdmitted) this.credit -= 1;
    if (isAdmitted) this.recent.addRequests(1, now);
    return { isAdmitted, credit, chance, part, assumed };
  }

  /** Takes back a request that was admitted and did not run. */
  releaseRequest(now: number): void {
    this.update(now);
    this.credit += 1;
    this.recent.addRequests(-1, now);
  }

  /**
   * Charges what other hosts admitted. `share` is the part of the other hosts that were heard, 0 to
   * 1, of which no assumption is needed any more.
   */
  recordOthers({ admitted, asked }: QuotaCounts, share: number, now: number): void {
    this.update(now);
    const known = this.assumed * share;
    // A wrong report must not harm the team for longer than a window.
    const mostAsked = maxSurge * this.computeWindow();
    const charged = Math.min(admitted, this.computeWindow());
    this.credit += known - charged;
    this.assumed -= known;
    this.othersAdmitted.addRequests(charged, now);
    this.othersAsked.addRequests(Math.min(asked, mostAsked), now);
    if (charged !== 0) this.recent.addRequests(charged, now);
    if (asked > 0) this.usedAt = now;
    this.newsAt = now;
    this.ownSinceNews = 0;
    this.ownAsked.addRequests(0, now);
    this.ownExpected = this.ownAsked.last;
    this.checkCredit();
  }

  /**
   * Uses another part. Hosts that left keep theirs. Hosts that join bring no credit, unless all
   * start with theirs.
   */
  usePart(part: number, isStart: boolean, now: number): void {
    if (part === this.part) return;
    this.update(now);
    if (part < this.part) {
      const used = this.recent.count(now);
      const share = part / this.part;
      this.credit = (this.credit + used + this.assumed) * share - used;
      this.assumed = 0;
    } else if (isStart && this.credit > 0) this.credit *= part / this.part;
    this.part = part;
    this.checkCredit();
  }

  /** Uses other limits. What was used stays used. */
  useLimits(limits: CreditLimits, now: number): void {
    if (limits === this.limits) return;
    this.update(now);
    const leftShare = this.credit / Math.max(Number.MIN_VALUE, this.limits.burst);
    this.limits = limits;
    if (this.credit > 0) this.credit = leftShare * limits.burst;
    this.checkCredit();
  }

  /** Uses the level that another host of the group told. */
  useLevel(level: number, now: number): void {
    this.update(now);
    this.credit = level;
    this.checkCredit();
  }

  /**
   * Instant at which a request that is refused now may be admitted. It is drawn from the time in
   * which the credit for all requests that are refused becomes free; `random` is from 0 up to 1.
   */
  drawRetryTime(now: number, random: number): number {
    const perMs = this.limits.requestsPerMs * this.part;
    if (perMs <= 0) return now + minReturnMs;
    const dueMs = Math.max(0, 1 - this.credit) / perMs;
    const askedPerMs = this.ownAsked.last + this.othersAsked.last;
    // The more is refused, the longer the time over which callers come back.
    const spreadMs = dueMs + (newsMs * askedPerMs) / perMs;
    return now + Math.max(minReturnMs, dueMs) + spreadMs * random;
  }

  private computeChance(): number {
    const { credit } = this;
    const needed = Math.max(1, this.othersAsked.last * newsMs);
    return Math.min(1, Math.max(0, credit / needed));
  }

  private update(now: number): void {
    const elapsedMs = Math.max(0, now - this.updatedAt);
    this.updatedAt = Math.max(now, this.updatedAt);
    const assumed = elapsedMs * this.othersAdmitted.last * this.estimateSurge(now);
    this.assumed += assumed;
    this.credit += elapsedMs * this.limits.requestsPerMs * this.part - assumed;
    this.checkCredit();
  }

  private estimateSurge(now: number): number {
    const expected = this.ownExpected * Math.max(0, now - this.newsAt);
    const factor = (this.ownSinceNews + surgePrior) / (expected + surgePrior);
    return Math.min(maxSurge, Math.max(1, factor));
  }

  // A debt of what a window earns is not repaid sooner than the requests have left the window, so a
  // larger one changes nothing but the harm of a wrong report.
  private checkCredit(): void {
    const most = this.part * this.limits.burst;
    this.credit = Math.min(most, Math.max(-this.computeWindow(), this.credit));
  }

  /** Requests of the group in one window. */
  private computeWindow(): number {
    const { requestsPerMs, windowMs, burst } = this.limits;
    return Math.max(1, this.part * (requestsPerMs * windowMs + burst));
  }
}
