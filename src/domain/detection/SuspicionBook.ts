import Spell from './Spell.ts';

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

/** One bad sign of one upstream. */
export interface Suspicion {
  readonly upstream: string;
  readonly incarnation: number;
  readonly kind: SuspicionKind;
}

/** Who saw a bad sign: this host, or another one. */
export type SuspicionSource = 'own' | 'other';

/**
 * What a sign speaks of: the upstream itself, the link from this host to it, or hardly anything,
 * since sound upstreams show it too.
 */
type SpellKind = 'upstream' | 'link' | 'weak';

interface SignWeight {
  readonly spell: SpellKind;
  /** Risk that the next request to the upstream fails, by one sign. */
  readonly risk: number;
}

interface Held {
  readonly incarnation: number;
  readonly spells: Readonly<Record<SpellKind, Spell>>;
  /** The newest sign that speaks of the upstream itself. */
  signAt: number;
  seenAt: number;
}

// One host that can't connect may have a bad link; three are enough against the upstream. Sound
// upstreams report a fault in about one of a hundred answers, and one answer in a hundred takes
// three to five times as long as usual.
const signWeights: Readonly<Record<SuspicionKind, Record<SuspicionSource, SignWeight>>> = {
  broken: { own: { spell: 'upstream', risk: 1 }, other: { spell: 'upstream', risk: 1 } },
  misplaced: { own: { spell: 'upstream', risk: 1 }, other: { spell: 'upstream', risk: 1 } },
  unreachable: { own: { spell: 'link', risk: 1 }, other: { spell: 'upstream', risk: 0.35 } },
  silent: { own: { spell: 'link', risk: 1 }, other: { spell: 'upstream', risk: 0.35 } },
  overdue: { own: { spell: 'link', risk: 0.35 }, other: { spell: 'weak', risk: 0.2 } },
  faulty: { own: { spell: 'weak', risk: 0.12 }, other: { spell: 'weak', risk: 0.12 } },
};
// Under high load all upstreams show weak signs; they must not hide the others.
const mostWeakRisk = 0.5;

// Share of the first requests that fail at an upstream that was not used for a while. In two trial
// days 31 of 96 did.
const unusedRisk = 0.3;
// A sign against an upstream that looks this bad already is no news for others.
const newsRisk = 0.9;
// A host that starts hears of upstreams with this risk.
const toldRisk = 0.5;
// What others see over their links says nothing about an upstream that answered so lately.
const recentProofMs = 1500;

function computeRisk({ spells: { upstream, link, weak } }: Held, now: number): number {
  return Math.max(upstream.computeRisk(now), link.computeRisk(now), weak.computeRisk(now));
}

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
    const known = this.held.get(upstream);
    if (known && known.incarnation > incarnation) return false;
    const { spell, risk } = signWeights[kind][source];
    const isOfLinks = signWeights[kind].own.spell === 'link';
    if (source === 'other' && isOfLinks && this.isProven(upstream, now)) return false;
    const held = known?.incarnation === incarnation ? known : this.createHeld(incarnation);
    const before = computeRisk(held, now);
    held.spells[spell].addSign(risk, now);
    if (spell === 'upstream') held.signAt = now;
    held.seenAt = now;
    this.held.set(upstream, held);
    return before < newsRisk && computeRisk(held, now) > before;
  }

  /**
   * Takes a good answer to a request of this host that was sent at `sentAt`. Returns whether that
   * was after all signs against the upstream itself, so that the answer speaks against them.
   */
  addGoodAnswer(upstream: string, sentAt: number, now: number): boolean {
    const held = this.held.get(upstream);
    held?.spells.link.addGoodAnswer();
    const isAfterSigns = !held || held.signAt < sentAt;
    if (isAfterSigns) this.addProof(upstream, now);
    else this.provenAt.set(upstream, now);
    return isAfterSigns;
  }

  /** Takes a good answer, here or at another host, that speaks against what is held. */
  addProof(upstream: string, now: number): void {
    this.provenAt.set(upstream, now);
    const held = this.held.get(upstream);
    held?.spells.upstream.addGoodAnswer();
    held?.spells.weak.addGoodAnswer();
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
    const unused = unusedRisk * Math.min(1, (now - (provenAt ?? -Infinity)) / this.holdMs);
    return Math.max(unused, seen ? computeRisk(seen, now) : 0);
  }

  /** Signs that tell a host without any knowledge which upstreams are more likely bad than not. */
  listBroken(now: number): readonly Suspicion[] {
    return [...this.held]
      .filter(([, { spells }]) => spells.upstream.computeRisk(now) >= toldRisk)
      .map(([upstream, { incarnation }]) => ({ upstream, incarnation, kind: 'broken' }));
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

  private createHeld(incarnation: number): Held {
    const { holdMs } = this;
    return {
      incarnation,
      spells: {
        upstream: new Spell({ holdMs, mostRisk: 1 }),
        link: new Spell({ holdMs, mostRisk: 1 }),
        weak: new Spell({ holdMs, mostRisk: mostWeakRisk }),
      },
      signAt: -Infinity,
      seenAt: -Infinity,
    };
  }

  private isProven(upstream: string, now: number): boolean {
    return now - (this.provenAt.get(upstream) ?? -Infinity) < recentProofMs;
  }
}
