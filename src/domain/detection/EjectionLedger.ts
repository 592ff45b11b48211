import type UpstreamRecord from '../membership/UpstreamRecord.ts';
import type { Suspect } from './Detector.ts';
import IssuedDeadlines from './IssuedDeadlines.ts';
import type Verdict from './Verdict.ts';
import type { Ejection, Probation } from './Verdict.ts';

/** Times of the ejection ledger, in milliseconds. */
export interface EjectionTimes {
  /** Length of a first ejection; each repeated one is twice as long. */
  readonly firstHoldMs: number;
  readonly longestHoldMs: number;
  /** Time with little traffic after an ejection. */
  readonly probationMs: number;
  /** Time without a fault after which earlier ejections no longer count. */
  readonly forgetMs: number;
}

/** Times in use unless a test sets others. */
export const defaultEjectionTimes: EjectionTimes = {
  firstHoldMs: 10_000,
  longestHoldMs: 600_000,
  probationMs: 10_000,
  forgetMs: 300_000,
};

/** What the ledger may be given. */
export interface EjectionLedgerOptions {
  readonly times?: EjectionTimes;
  readonly issued?: IssuedDeadlines;
}

/** One round of decisions about a service. */
export interface LedgerRound {
  readonly now: number;
  readonly suspects: readonly Suspect[];
  /** Upstreams that serve, are not leaving and have a valid lease. */
  readonly serving: readonly UpstreamRecord[];
  readonly floor: number;
  /** Latest deadline that the granted majority allows. */
  readonly latestDeadline: number;
}

/** What a round decided. */
export interface LedgerDecision {
  readonly ejections: readonly Ejection[];
  readonly probations: readonly Probation[];
  /** Upstreams whose ejection ended in this round. */
  readonly released: readonly string[];
  /** Whether the lists differ from those of the round before. */
  readonly changed: boolean;
}

interface Hold {
  readonly upstream: string;
  readonly incarnation: number;
  readonly severity: number;
  readonly repeats: number;
  readonly state: 'ejected' | 'probation';
  readonly heldUntil: number;
  /** Last deadline issued; 0 when none was. */
  readonly issuedUntil: number;
}

// An ejection is renewed when less than this is left, which keeps verdicts rare.
const renewBelowMs = 1000;
// A new suspect takes the place of an ejected upstream only when it is clearly worse.
const displaceFactor = 1.5;

function compareSeverity(a: Hold, b: Hold): number {
  return b.severity - a.severity || (a.upstream < b.upstream ? -1 : 1);
}

/**
 * The ejections of one service as its judge issues them. It keeps the floor over the union of all
 * ejections that any host may still observe.
 */
export default class EjectionLedger {
  private readonly times: EjectionTimes;

  private readonly holds = new Map<string, Hold>();

  private readonly issued: IssuedDeadlines;

  private lastContent = '[[],[]]';

  constructor(options: EjectionLedgerOptions = {}) {
    this.times = options.times ?? defaultEjectionTimes;
    this.issued = options.issued ?? new IssuedDeadlines();
  }

  /** Whether an upstream is held as ejected, so that what is seen of it is no new evidence. */
  isEjected(upstream: string): boolean {
    return this.holds.get(upstream)?.state === 'ejected';
  }

  /** Takes over what an earlier judge of the service decided; its leases have ended by now. */
  restoreVerdict(verdict: Verdict, now: number): void {
    verdict.ejections
      .filter(({ upstream, heldUntil }) => heldUntil > now && !this.holds.has(upstream))
      .forEach((ejection) =>
        this.holds.set(ejection.upstream, { ...ejection, state: 'ejected', issuedUntil: 0 }),
      );
    verdict.probations
      .filter(({ upstream }) => !this.holds.has(upstream))
      .forEach(({ deadline, ...probation }) => {
        const heldUntil = deadline - this.times.probationMs;
        const rest = { severity: 0, state: 'probation', heldUntil, issuedUntil: 0 } as const;
        this.holds.set(probation.upstream, { ...probation, ...rest });
      });
  }

  decideEjections(round: LedgerRound): LedgerDecision {
    const { now, serving } = round;
    const released = this.releaseEnded(now);
    this.dropForgotten(serving, now);
    const wanted = this.chooseWanted(round);
    wanted.forEach((hold) => this.renewHold(hold, round));
    const ejections = this.listEjections(wanted, now);
    const probations = this.listProbations(now);
    const content = JSON.stringify([ejections, probations]);
    const changed = content !== this.lastContent;
    this.lastContent = content;
    return { ejections, probations, released, changed };
  }

  private releaseEnded(now: number): readonly string[] {
    return [...this.holds.values()]
      .filter(({ state, heldUntil }) => state === 'ejected' && heldUntil <= now)
      .map((hold) => {
        this.holds.set(hold.upstream, { ...hold, state: 'probation' });
        return hold.upstream;
      });
  }

  private dropForgotten(serving: readonly UpstreamRecord[], now: number): void {
    this.issued.dropOld(now);
    const present = new Map(serving.map((record) => [record.upstream, record.incarnation]));
    this.holds.forEach((hold) => {
      const isGone = present.get(hold.upstream) !== hold.incarnation;
      const forgetAt = hold.heldUntil + this.times.probationMs + this.times.forgetMs;
      if (isGone || forgetAt <= now) this.holds.delete(hold.upstream);
    });
  }

  // Decides which upstreams shall be ejected: the worst, as many as the floor allows.
  private chooseWanted({ now, suspects, serving, floor }: LedgerRound): readonly Hold[] {
    const most = Math.max(0, serving.length - floor);
    const held = [...this.holds.values()].filter(({ state }) => state === 'ejected');
    const fresh = suspects.flatMap((suspect) => {
      const record = serving.find(({ upstream }) => upstream === suspect.upstream);
      return record && !this.isEjected(suspect.upstream)
        ? [this.createHold(suspect, record, now)]
        : [];
    });
    const ranked = [
      ...held.map((hold) => ({ ...hold, severity: hold.severity * displaceFactor })),
      ...fresh,
    ].sort(compareSeverity);
    const chosen = new Set(ranked.slice(0, most).map(({ upstream }) => upstream));
    const wanted = [...held, ...fresh].filter(({ upstream }) => chosen.has(upstream));
    return this.applyUnionRule(wanted.sort(compareSeverity), { serving, most, now });
  }

  // An upstream that some host may still leave out counts until its last deadline has passed.
  private applyUnionRule(
    wanted: readonly Hold[],
    round: {
      readonly serving: LedgerRound['serving'];
      readonly most: number;
      readonly now: number;
    },
  ): readonly Hold[] {
    const { serving, most, now } = round;
    const union = new Set(
      serving
        .map(({ upstream }) => upstream)
        .filter((upstream) => this.issued.mayBeObserved(upstream, now)),
    );
    return wanted.filter(({ upstream }) => {
      if (union.has(upstream)) return true;
      if (union.size >= most) return false;
      union.add(upstream);
      return true;
    });
  }

  private createHold(suspect: Suspect, record: UpstreamRecord, now: number): Hold {
    const earlier = this.holds.get(suspect.upstream);
    const repeats = earlier ? earlier.repeats + 1 : 0;
    const { firstHoldMs, longestHoldMs } = this.times;
    return {
      upstream: suspect.upstream,
      incarnation: record.incarnation,
      severity: suspect.severity,
      repeats,
      state: 'ejected',
      heldUntil: now + Math.min(longestHoldMs, firstHoldMs * 2 ** Math.min(repeats, 30)),
      issuedUntil: 0,
    };
  }

  private renewHold(hold: Hold, { now, latestDeadline }: LedgerRound): void {
    const deadline = Math.min(hold.heldUntil, latestDeadline);
    if (deadline <= now || hold.issuedUntil >= deadline) return;
    if (hold.issuedUntil - now >= renewBelowMs) return;
    this.holds.set(hold.upstream, { ...hold, issuedUntil: deadline });
    this.issued.recordDeadline(hold.upstream, deadline);
  }

  // Those that are no longer wanted are left out, so that hosts use them again at once.
  private listEjections(wanted: readonly Hold[], now: number): readonly Ejection[] {
    return wanted.flatMap(({ upstream }) => {
      const hold = this.holds.get(upstream);
      if (!hold || hold.issuedUntil <= now) return [];
      const { incarnation, severity, repeats, heldUntil, issuedUntil } = hold;
      return [{ upstream, incarnation, severity, repeats, heldUntil, deadline: issuedUntil }];
    });
  }

  private listProbations(now: number): readonly Probation[] {
    return [...this.holds.values()].flatMap(
      ({ state, heldUntil, upstream, incarnation, repeats }) => {
        const deadline = heldUntil + this.times.probationMs;
        return state === 'probation' && deadline > now
          ? [{ upstream, incarnation, repeats, deadline }]
          : [];
      },
    );
  }
}
