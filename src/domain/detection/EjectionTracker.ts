import type UpstreamRecord from '../membership/UpstreamRecord.ts';
import type { Outlier } from './Detector.ts';
import IssuedDeadlines from './IssuedDeadlines.ts';
import type EjectionRecord from './EjectionRecord.ts';
import type { Ejection, Probation } from './EjectionRecord.ts';

/** Times of the ejection tracker, in milliseconds. */
export interface EjectionTimes {
  /** Length of a first ejection; each repetition doubles it. */
  readonly baseEjectionMs: number;
  readonly maxEjectionMs: number;
  /** Length of the probation that follows an ejection. */
  readonly probationMs: number;
  /** Time without a fault after which earlier ejections no longer count. */
  readonly forgetMs: number;
}

/** Default times of an ejection tracker. */
export const defaultEjectionTimes: EjectionTimes = {
  baseEjectionMs: 10_000,
  maxEjectionMs: 600_000,
  probationMs: 10_000,
  forgetMs: 300_000,
};

/** Options of the tracker. */
export interface EjectionTrackerOptions {
  readonly times?: EjectionTimes;
  readonly issued?: IssuedDeadlines;
}

/** One round of decisions about a service. */
export interface EjectionRound {
  readonly now: number;
  readonly outliers: readonly Outlier[];
  /** Upstreams that are serving, not leaving, and have a valid lease. */
  readonly serving: readonly UpstreamRecord[];
  readonly floor: number;
  /** Latest deadline that the lease quorum allows. */
  readonly latestDeadline: number;
}

/** The decisions of one round. */
export interface EjectionDecision {
  readonly ejections: readonly Ejection[];
  readonly probations: readonly Probation[];
  /** Upstreams whose ejection ended in this round. */
  readonly released: readonly string[];
  /** Whether the ejections or probations differ from those of the previous round. */
  readonly changed: boolean;
}

interface TrackedEjection {
  readonly upstream: string;
  readonly incarnation: number;
  readonly severity: number;
  readonly repeats: number;
  readonly state: 'ejected' | 'probation';
  readonly heldUntil: number;
  /** Last deadline issued; 0 when none was. */
  readonly issuedUntil: number;
}

// An ejection is renewed only when less than this time remains until its deadline, so that ejection
// records rarely change.
const renewalThresholdMs = 1000;
// A new outlier displaces an ejected upstream only if its severity exceeds this multiple of the
// ejected upstream's severity.
const displaceFactor = 1.5;

function compareSeverity(a: TrackedEjection, b: TrackedEjection): number {
  return b.severity - a.severity || (a.upstream < b.upstream ? -1 : 1);
}

/**
 * The ejections of one service as its coordinator issues them. The floor applies to the union of
 * all ejections that any host may still apply.
 */
export default class EjectionTracker {
  private readonly times: EjectionTimes;

  private readonly tracked = new Map<string, TrackedEjection>();

  private readonly issued: IssuedDeadlines;

  private lastContent = '[[],[]]';

  constructor(options: EjectionTrackerOptions = {}) {
    this.times = options.times ?? defaultEjectionTimes;
    this.issued = options.issued ?? new IssuedDeadlines();
  }

  /** Whether an upstream is ejected; observations of an ejected upstream are not new evidence. */
  isEjected(upstream: string): boolean {
    return this.tracked.get(upstream)?.state === 'ejected';
  }

  /**
   * Restores the decisions of an earlier coordinator of the service, whose leases have expired.
   */
  restoreEjections(record: EjectionRecord, now: number): void {
    record.ejections
      .filter(({ upstream, heldUntil }) => heldUntil > now && !this.tracked.has(upstream))
      .forEach((ejection) =>
        this.tracked.set(ejection.upstream, { ...ejection, state: 'ejected', issuedUntil: 0 }),
      );
    record.probations
      .filter(({ upstream }) => !this.tracked.has(upstream))
      .forEach(({ deadline, ...probation }) => {
        const heldUntil = deadline - this.times.probationMs;
        const trackedFields = {
          severity: 0,
          state: 'probation',
          heldUntil,
          issuedUntil: 0,
        } as const;
        this.tracked.set(probation.upstream, { ...probation, ...trackedFields });
      });
  }

  /** Updates the ejections and probations from the outliers of the round, and returns them. */
  decideEjections(round: EjectionRound): EjectionDecision {
    const { now, serving } = round;
    const released = this.releaseExpired(now);
    this.dropOutdated(serving, now);
    const wanted = this.chooseWanted(round);
    wanted.forEach((ejection) => this.renewEjection(ejection, round));
    const ejections = this.listEjections(wanted, now);
    const probations = this.listProbations(now);
    const content = JSON.stringify([ejections, probations]);
    const changed = content !== this.lastContent;
    this.lastContent = content;
    return { ejections, probations, released, changed };
  }

  private releaseExpired(now: number): readonly string[] {
    return [...this.tracked.values()]
      .filter(({ state, heldUntil }) => state === 'ejected' && heldUntil <= now)
      .map((ejection) => {
        this.tracked.set(ejection.upstream, { ...ejection, state: 'probation' });
        return ejection.upstream;
      });
  }

  private dropOutdated(serving: readonly UpstreamRecord[], now: number): void {
    this.issued.dropExpired(now);
    const present = new Map(serving.map((record) => [record.upstream, record.incarnation]));
    this.tracked.forEach((ejection) => {
      const isGone = present.get(ejection.upstream) !== ejection.incarnation;
      const forgetAt = ejection.heldUntil + this.times.probationMs + this.times.forgetMs;
      if (isGone || forgetAt <= now) this.tracked.delete(ejection.upstream);
    });
  }

  // Chooses the upstreams to eject: the most severe outliers, as many as the floor allows.
  private chooseWanted({
    now,
    outliers,
    serving,
    floor,
  }: EjectionRound): readonly TrackedEjection[] {
    const maxEjected = Math.max(0, serving.length - floor);
    const ejected = [...this.tracked.values()].filter(({ state }) => state === 'ejected');
    const newEjections = outliers.flatMap((outlier) => {
      const record = serving.find(({ upstream }) => upstream === outlier.upstream);
      return record && !this.isEjected(outlier.upstream)
        ? [this.createEjection(outlier, record, now)]
        : [];
    });
    const ranked = [
      ...ejected.map((ejection) => ({ ...ejection, severity: ejection.severity * displaceFactor })),
      ...newEjections,
    ].sort(compareSeverity);
    const chosen = new Set(ranked.slice(0, maxEjected).map(({ upstream }) => upstream));
    const wanted = [...ejected, ...newEjections].filter(({ upstream }) => chosen.has(upstream));
    return this.applyUnionRule(wanted.sort(compareSeverity), {
      serving,
      maxEjected,
      now,
    });
  }

  // An upstream that some host may still treat as ejected counts as ejected until its last issued
  // deadline has passed.
  private applyUnionRule(
    wanted: readonly TrackedEjection[],
    round: {
      readonly serving: EjectionRound['serving'];
      readonly maxEjected: number;
      readonly now: number;
    },
  ): readonly TrackedEjection[] {
    const { serving, maxEjected, now } = round;
    const union = new Set(
      serving
        .map(({ upstream }) => upstream)
        .filter((upstream) => this.issued.mayBeApplied(upstream, now)),
    );
    return wanted.filter(({ upstream }) => {
      if (union.has(upstream)) return true;
      if (union.size >= maxEjected) return false;
      union.add(upstream);
      return true;
    });
  }

  private createEjection(outlier: Outlier, record: UpstreamRecord, now: number): TrackedEjection {
    const earlier = this.tracked.get(outlier.upstream);
    const repeats = earlier ? earlier.repeats + 1 : 0;
    const { baseEjectionMs, maxEjectionMs } = this.times;
    return {
      upstream: outlier.upstream,
      incarnation: record.incarnation,
      severity: outlier.severity,
      repeats,
      state: 'ejected',
      heldUntil: now + Math.min(maxEjectionMs, baseEjectionMs * 2 ** Math.min(repeats, 30)),
      issuedUntil: 0,
    };
  }

  private renewEjection(ejection: TrackedEjection, { now, latestDeadline }: EjectionRound): void {
    const deadline = Math.min(ejection.heldUntil, latestDeadline);
    if (deadline <= now || ejection.issuedUntil >= deadline) return;
    if (ejection.issuedUntil - now >= renewalThresholdMs) return;
    this.tracked.set(ejection.upstream, { ...ejection, issuedUntil: deadline });
    this.issued.recordDeadline(ejection.upstream, deadline);
  }

  // Lists only the wanted ejections, so that hosts immediately use all other upstreams again.
  private listEjections(wanted: readonly TrackedEjection[], now: number): readonly Ejection[] {
    return wanted.flatMap(({ upstream }) => {
      const ejection = this.tracked.get(upstream);
      if (!ejection || ejection.issuedUntil <= now) return [];
      const { incarnation, severity, repeats, heldUntil, issuedUntil } = ejection;
      return [{ upstream, incarnation, severity, repeats, heldUntil, deadline: issuedUntil }];
    });
  }

  private listProbations(now: number): readonly Probation[] {
    return [...this.tracked.values()].flatMap(
      ({ state, heldUntil, upstream, incarnation, repeats }) => {
        const deadline = heldUntil + this.times.probationMs;
        return state === 'probation' && deadline > now
          ? [{ upstream, incarnation, repeats, deadline }]
          : [];
      },
    );
  }
}
