/** What was seen of an upstream that lets it look bad. */
export type SuspicionKind =
  /** A reset, a broken or a foreign answer, or no answer in time. */
  | 'broken'
  /** No connection could be opened. */
  | 'unreachable'
  /** A request has been open for far longer than usual. */
  | 'overdue'
  /** A whole answer that reports a fault. */
  | 'faulty'
  /** The address belongs to another upstream now. */
  | 'misplaced';

/** One bad sign of one upstream. */
export interface Suspicion {
  readonly upstream: string;
  readonly incarnation: number;
  readonly kind: SuspicionKind;
}

/** Who saw a bad sign: this host, or another one. */
export type SuspicionSource = 'own' | 'other';

interface SignWeight {
  /** Risk that the next request to the upstream fails, by one sign. */
  readonly own: number;
  /** The same by the word of another host, whose own link may be at fault. */
  readonly other: number;
}

interface Held {
  readonly incarnation: number;
  risk: number;
  readonly seenAt: number;
  readonly endsAt: number;
}

// Sound upstreams report a fault in about one of a hundred answers, and one answer in a hundred
// takes three to five times as long as usual.
const signWeights: Readonly<Record<SuspicionKind, SignWeight>> = {
  broken: { own: 1, other: 1 },
  unreachable: { own: 1, other: 0 },
  overdue: { own: 0.5, other: 0.2 },
  faulty: { own: 0.12, other: 0.12 },
  misplaced: { own: 1, other: 1 },
};

// Share of the first requests that fail at an upstream that was not used for a while. In two trial
// days 31 of 96 did.
const unusedRisk = 0.3;
// A good answer to a request that was sent after the last bad sign.
const goodAnswerFactor = 0.4;

/** Options of the book. */
export interface SuspicionBookOptions {
  /**
   * How long a bad sign counts, in milliseconds; it fades evenly. For the same time a good answer
   * counts.
   */
  readonly holdMs: number;
}

/** How likely the next request to an upstream fails, by what this host and others saw of it. */
export default class SuspicionBook {
  private readonly holdMs: number;

  private readonly held = new Map<string, Held>();

  /** When the last good answer of an upstream came. */
  private readonly provenAt = new Map<string, number>();

  constructor(options: SuspicionBookOptions) {
    this.holdMs = options.holdMs;
  }

  /** Returns whether the sign changes what is believed, so that other hosts should hear of it. */
  addSuspicion(suspicion: Suspicion, now: number, source: SuspicionSource = 'own'): boolean {
    const { upstream, incarnation, kind } = suspicion;
    const held = this.held.get(upstream);
    if (held && held.incarnation > incarnation) return false;
    const before = held?.incarnation === incarnation ? this.computeRisk(held, now) : 0;
    const risk = Math.min(1, before + signWeights[kind][source]);
    if (risk === before) return false;
    this.held.set(upstream, { incarnation, risk, seenAt: now, endsAt: now + this.holdMs });
    return before < 0.9;
  }

  /** Takes a good answer to a request that was sent at `sentAt`. */
  addGoodAnswer(upstream: string, sentAt: number, now: number): void {
    this.provenAt.set(upstream, now);
    const held = this.held.get(upstream);
    if (held && held.seenAt < sentAt) held.risk *= goodAnswerFactor;
  }

  /** Takes the word of another host that an upstream has just given good answers. */
  addProof(upstream: string, now: number): void {
    this.provenAt.set(upstream, now);
  }

  /**
   * Risk from 0 to 1. It grows while an upstream is not used, but one that nobody has tried yet
   * has none, so that it is tried.
   */
  getRisk(upstream: string, incarnation: number, now: number): number {
    const held = this.held.get(upstream);
    const seen = held?.incarnation === incarnation ? held : undefined;
    const provenAt = this.provenAt.get(upstream);
    if (!seen && provenAt === undefined) return 0;
    const unusedMs = now - (provenAt ?? -Infinity);
    const unused = unusedRisk * Math.min(1, unusedMs / this.holdMs);
    return Math.max(unused, seen ? this.computeRisk(seen, now) : 0);
  }

  /** Forgets upstreams of which nothing was seen for a long time. */
  pruneHeld(now: number): void {
    const oldest = now - 10 * this.holdMs;
    [...this.held]
      .filter(([, { seenAt }]) => seenAt < oldest)
      .forEach(([upstream]) => this.held.delete(upstream));
    [...this.provenAt]
      .filter(([, at]) => at < oldest)
      .forEach(([upstream]) => this.provenAt.delete(upstream));
  }

  private computeRisk({ risk, endsAt }: Held, now: number): number {
    return Math.max(0, Math.min(1, (endsAt - now) / this.holdMs)) * risk;
  }
}
