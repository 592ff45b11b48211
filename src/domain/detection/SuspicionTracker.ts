import pruneMap from '../collections/pruneMap.ts';
import DecayingRisk from './DecayingRisk.ts';

/** The kind of observation that makes an upstream suspicious. */
export type SuspicionKind =
  /** The connection was reset, or the answer was truncated or belonged to another request. */
  | 'broken'
  /** No connection could be opened. */
  | 'unreachable'
  /** No answer arrived before the deadline of the attempt. */
  | 'silent'
  /** A request has been open for far longer than usual. */
  | 'overdue'
  /**
   * The same, while other upstreams answer the host, and lately such requests got no answer in
   * time.
   */
  | 'hanging'
  /** A complete answer that reports a fault. */
  | 'faulty'
  /** The address belongs to another upstream now. */
  | 'misplaced';

/** One suspicion of one upstream. */
export interface Suspicion {
  readonly upstream: string;
  readonly incarnation: number;
  readonly kind: SuspicionKind;
}

/** Which host made the observation: this one or another. */
export type SuspicionSource = 'own' | 'other';

/**
 * What a suspicion is evidence of: a fault of the upstream itself (`upstream`) or of the link from
 * this host to the upstream (`link`). A `weak` suspicion proves little, because healthy upstreams
 * cause it too.
 */
type RiskKind = 'upstream' | 'link' | 'weak';

interface SuspicionWeight {
  readonly riskKind: RiskKind;
  /** Amount by which one suspicion raises the risk that the next request fails. */
  readonly risk: number;
}

interface UpstreamSuspicions {
  readonly incarnation: number;
  readonly risks: Readonly<Record<RiskKind, DecayingRisk>>;
  /** Instant of the newest suspicion of risk kind `upstream`. */
  suspectedAt: number;
  seenAt: number;
}

// A host that can't connect may have a bad link, so three such hosts are needed to blame the
// upstream. Healthy upstreams report a fault in about one of a hundred answers, and one answer in a
// hundred takes three to five times as long as usual.
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
    hanging: {
      own: { riskKind: 'upstream', risk: 0.7 },
      other: { riskKind: 'upstream', risk: 0.7 },
    },
    faulty: { own: { riskKind: 'weak', risk: 0.12 }, other: { riskKind: 'weak', risk: 0.12 } },
  };
// Under high load all upstreams cause weak suspicions, which must not mask the stronger ones.
const maxWeakRisk = 0.5;

// Share of first requests that fail at an upstream that has not been used for a while: about one in
// three (31 of 96).
const unusedRisk = 0.3;
// At or above this risk, further suspicions of an upstream are not announced to other hosts.
const knownBadRisk = 0.9;
// At or above this risk, an upstream is reported to a host that starts.
const sharedRisk = 0.5;
// Link suspicions of other hosts are ignored when this host got a good answer from the upstream
// within this time.
const recentSuccessMs = 1500;

function computeRisk({ risks: { upstream, link, weak } }: UpstreamSuspicions, now: number): number {
  return Math.max(upstream.computeRisk(now), link.computeRisk(now), weak.computeRisk(now));
}

/** Options of the tracker. */
export interface SuspicionTrackerOptions {
  /**
   * Time over which a suspicion decays linearly to 0, in milliseconds. A good answer counts for the
   * same time.
   */
  readonly decayMs: number;
}

/**
 * Estimates the risk that the next request to an upstream fails, from the suspicions and good
 * answers of this host and of others.
 */
export default class SuspicionTracker {
  private readonly decayMs: number;

  private readonly suspicions = new Map<string, UpstreamSuspicions>();

  /** Instant of the last good answer of each upstream. */
  private readonly succeededAt = new Map<string, number>();

  constructor(options: SuspicionTrackerOptions) {
    this.decayMs = options.decayMs;
  }

  /**
   * Returns whether the suspicion raises the risk of an upstream not yet known to be bad, so that
   * it should be announced to other hosts.
   */
  addSuspicion(suspicion: Suspicion, now: number, source: SuspicionSource = 'own'): boolean {
    const { upstream, incarnation, kind } = suspicion;
    const known = this.suspicions.get(upstream);
    if (known && known.incarnation > incarnation) return false;
    const { riskKind, risk } = suspicionWeights[kind][source];
    const isLinkSuspicion = suspicionWeights[kind].own.riskKind === 'link';
    if (source === 'other' && isLinkSuspicion && this.hasRecentSuccess(upstream, now)) return false;
    const suspicions =
      known?.incarnation === incarnation ? known : this.createSuspicions(incarnation);
    const riskBefore = computeRisk(suspicions, now);
    suspicions.risks[riskKind].addSuspicion(risk, now);
    if (riskKind === 'upstream') suspicions.suspectedAt = now;
    suspicions.seenAt = now;
    this.suspicions.set(upstream, suspicions);
    return riskBefore < knownBadRisk && computeRisk(suspicions, now) > riskBefore;
  }

  /**
   * Records a good answer to a request that this host sent at `sentAt`. Returns whether the request
   * was sent after all suspicions of the upstream itself, which makes the answer evidence of a
   * recovery.
   */
  recordSuccess(upstream: string, sentAt: number, now: number): boolean {
    const suspicions = this.suspicions.get(upstream);
    suspicions?.risks.link.recordSuccess();
    const isAfterSuspicions = !suspicions || suspicions.suspectedAt < sentAt;
    if (isAfterSuspicions) this.recordRecovery(upstream, now);
    else this.succeededAt.set(upstream, now);
    return isAfterSuspicions;
  }

  /** Whether the upstream gave a good answer to a host of the domain after an instant. */
  hasSucceededSince(upstream: string, instant: number): boolean {
    return (this.succeededAt.get(upstream) ?? -Infinity) > instant;
  }

  /** Records evidence of a recovery, from this host or another one. */
  recordRecovery(upstream: string, now: number): void {
    this.succeededAt.set(upstream, now);
    const suspicions = this.suspicions.get(upstream);
    suspicions?.risks.upstream.recordSuccess();
    suspicions?.risks.weak.recordSuccess();
  }

  /**
   * Risk from 0 to 1 that the next request fails. The risk grows while an upstream is not used. An
   * upstream without any attempt has a risk of 0, so that the balancer tries it.
   */
  getRisk(upstream: string, incarnation: number, now: number): number {
    const suspicions = this.suspicions.get(upstream);
    const current = suspicions?.incarnation === incarnation ? suspicions : undefined;
    const succeededAt = this.succeededAt.get(upstream);
    if (!current && succeededAt === undefined) return 0;
    const riskFromDisuse =
      unusedRisk * Math.min(1, (now - (succeededAt ?? -Infinity)) / this.decayMs);
    return Math.max(riskFromDisuse, current ? computeRisk(current, now) : 0);
  }

  /** Whether suspicions of the upstream are in effect. */
  isSuspected(upstream: string, now: number): boolean {
    const suspicions = this.suspicions.get(upstream);
    return suspicions !== undefined && computeRisk(suspicions, now) > 0;
  }

  /**
   * Suspicions for a host that has just started: one for each upstream that is more likely bad than
   * not.
   */
  listSuspicions(now: number): readonly Suspicion[] {
    return [...this.suspicions]
      .filter(([, { risks }]) => risks.upstream.computeRisk(now) >= sharedRisk)
      .map(([upstream, { incarnation }]) => ({ upstream, incarnation, kind: 'broken' }));
  }

  /** Removes upstreams without observations for ten times the decay time. */
  pruneIdle(now: number): void {
    const oldest = now - 10 * this.decayMs;
    pruneMap(this.suspicions, ({ seenAt }) => seenAt < oldest);
    pruneMap(this.succeededAt, (succeededAt) => succeededAt < oldest);
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
