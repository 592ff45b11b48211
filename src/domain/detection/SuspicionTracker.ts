import DecayingRisk from './DecayingRisk.ts';

/** What was seen of an upstream that lets it look bad. */
export type SuspicionKind =
  /** A reset, a broken or a foreign answer. */
  | 'broken'
  /** No connection could be opened. */
  | 'unreachable'
  /** No answer in the time that the request had. */
  | 'silent'
  /** A request has been open for far longer than usual. */
  | 'overdue'
  /** A whole answer that reports a fault. */
  | 'faulty'
  /** The address belongs to another upstream now. */
  | 'misplaced';

/** One suspicion of one upstream. */
export interface Suspicion {
  readonly upstream: string;
  readonly incarnation: number;
  readonly kind: SuspicionKind;
}

/** Who saw a suspicion: this host, or another one. */
export type SuspicionSource = 'own' | 'other';

/**
 * What a suspicion speaks of: the upstream itself, the link from this host to it, or hardly
 * anything, since sound upstreams show it too.
 */
type RiskKind = 'upstream' | 'link' | 'weak';

interface SuspicionWeight {
  readonly riskKind: RiskKind;
  /** Risk that the next request to the upstream fails, by one suspicion. */
  readonly risk: number;
}

interface UpstreamSuspicions {
  readonly incarnation: number;
  readonly risks: Readonly<Record<RiskKind, DecayingRisk>>;
  /** The newest suspicion that speaks of the upstream itself. */
  suspectedAt: number;
  seenAt: number;
}

// One host that can't connect may have a bad link; three are enough against the upstream. Sound
// upstreams report a fault in about one of a hundred answers, and one answer in a hundred takes
// three to five times as long as usual.
const suspicionWeights: Readonly<Record<SuspicionKind, Record<SuspicionSource, SuspicionWeight>>> =
  {
    broken: { own: { riskKind: 'upstream', risk: 1 }, other: { riskKind: 'upstream', risk: 1 } },
    misplaced: { own: { riskKind: 'upstream', risk: 1 }, other: { riskKind: 'upstream', risk: 1 } },
    unreachable: {
      own: { riskKind: 'link', risk: 1 },
      other: { riskKind: 'upstream', risk: 0.35 },
    },
    silent: { own: { riskKind: 'link', risk: 1 }, other: { riskKind: 'upstream', risk: 0.35 } },
    overdue: { own: { riskKind: 'link', risk: 0.35 }, other: { riskKind: 'weak', risk: 0.2 } },
    faulty: { own: { riskKind: 'weak', risk: 0.12 }, other: { riskKind: 'weak', risk: 0.12 } },
  };
// Under high load all upstreams show weak suspicions; they must not hide the others.
const maxWeakRisk = 0.5;

// Share of the first requests that fail at an upstream that was not used for a while. In two trial
// days 31 of 96 did.
const unusedRisk = 0.3;
// A suspicion against an upstream that looks this bad already is nothing new for others.
const knownBadRisk = 0.9;
// A host that starts hears of upstreams with this risk.
const toldRisk = 0.5;
// What others see over their links says nothing about an upstream that answered so lately.
const recentSuccessMs = 1500;

function computeRisk({ risks: { upstream, link, weak } }: UpstreamSuspicions, now: number): number {
  return Math.max(upstream.computeRisk(now), link.computeRisk(now), weak.computeRisk(now));
}

/** Options of the tracker. */
export interface SuspicionTrackerOptions {
  /**
   * How long a suspicion counts, in milliseconds; it fades evenly. For the same time a good answer
   * counts.
   */
  readonly decayMs: number;
}

/** How likely the next request to an upstream fails, by what this host and others saw of it. */
export default class SuspicionTracker {
  private readonly decayMs: number;

  private readonly suspicions = new Map<string, UpstreamSuspicions>();

  /** When the last good answer of an upstream came. */
  private readonly succeededAt = new Map<string, number>();

  constructor(options: SuspicionTrackerOptions) {
    this.decayMs = options.decayMs;
  }

  /**
   * Returns whether the suspicion changes what is believed, so that other hosts should hear of it.
   */
  addSuspicion(suspicion: Suspicion, now: number, source: SuspicionSource = 'own'): boolean {
    const { upstream, incarnation, kind } = suspicion;
    const known = this.suspicions.get(upstream);
    if (known && known.incarnation > incarnation) return false;
    const { riskKind, risk } = suspicionWeights[kind][source];
    const isOfLinks = suspicionWeights[kind].own.riskKind === 'link';
    if (source === 'other' && isOfLinks && this.hasRecentSuccess(upstream, now)) return false;
    const suspicions =
      known?.incarnation === incarnation ? known : this.createSuspicions(incarnation);
    const before = computeRisk(suspicions, now);
    suspicions.risks[riskKind].addSuspicion(risk, now);
    if (riskKind === 'upstream') suspicions.suspectedAt = now;
    suspicions.seenAt = now;
    this.suspicions.set(upstream, suspicions);
    return before < knownBadRisk && computeRisk(suspicions, now) > before;
  }

  /**
   * Takes a good answer to a request of this host that was sent at `sentAt`. Returns whether that
   * was after all suspicions against the upstream itself, so that the answer speaks against them.
   */
  recordSuccess(upstream: string, sentAt: number, now: number): boolean {
    const suspicions = this.suspicions.get(upstream);
    suspicions?.risks.link.recordSuccess();
    const isAfterSuspicions = !suspicions || suspicions.suspectedAt < sentAt;
    if (isAfterSuspicions) this.recordRecovery(upstream, now);
    else this.succeededAt.set(upstream, now);
    return isAfterSuspicions;
  }

  /** Takes a good answer, here or at another host, that speaks against what is held. */
  recordRecovery(upstream: string, now: number): void {
    this.succeededAt.set(upstream, now);
    const suspicions = this.suspicions.get(upstream);
    suspicions?.risks.upstream.recordSuccess();
    suspicions?.risks.weak.recordSuccess();
  }

  /**
   * Risk from 0 to 1. It grows while an upstream is not used, but one that nobody has tried yet
   * has none, so that it is tried.
   */
  getRisk(upstream: string, incarnation: number, now: number): number {
    const suspicions = this.suspicions.get(upstream);
    const seen = suspicions?.incarnation === incarnation ? suspicions : undefined;
    const succeededAt = this.succeededAt.get(upstream);
    if (!seen && succeededAt === undefined) return 0;
    const unused = unusedRisk * Math.min(1, (now - (succeededAt ?? -Infinity)) / this.decayMs);
    return Math.max(unused, seen ? computeRisk(seen, now) : 0);
  }

  /**
   * Suspicions that tell a host without any knowledge which upstreams are more likely bad than not.
   */
  listSuspicions(now: number): readonly Suspicion[] {
    return [...this.suspicions]
      .filter(([, { risks }]) => risks.upstream.computeRisk(now) >= toldRisk)
      .map(([upstream, { incarnation }]) => ({ upstream, incarnation, kind: 'broken' }));
  }

  /** Forgets upstreams of which nothing was seen for a long time. */
  pruneIdle(now: number): void {
    const oldest = now - 10 * this.decayMs;
    [...this.suspicions]
      .filter(([, { seenAt }]) => seenAt < oldest)
      .forEach(([upstream]) => this.suspicions.delete(upstream));
    [...this.succeededAt]
      .filter(([, at]) => at < oldest)
      .forEach(([upstream]) => this.succeededAt.delete(upstream));
  }

  private createSuspicions(incarnation: number): UpstreamSuspicions {
    const { decayMs } = this;
    return {
      incarnation,
      risks: {
        upstream: new DecayingRisk({ decayMs, maxRisk: 1 }),
        link: new DecayingRisk({ decayMs, maxRisk: 1 }),
        weak: new DecayingRisk({ decayMs, maxRisk: maxWeakRisk }),
      },
      suspectedAt: -Infinity,
      seenAt: -Infinity,
    };
  }

  private hasRecentSuccess(upstream: string, now: number): boolean {
    return now - (this.succeededAt.get(upstream) ?? -Infinity) < recentSuccessMs;
  }
}
