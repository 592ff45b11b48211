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

interface Held {
  readonly incarnation: number;
  /** 1 for an upstream that is surely bad now. */
  level: number;
  readonly seenAt: number;
  readonly endsAt: number;
  /** How long the newest suspicion lasts. */
  readonly holdMs: number;
}

// How much one sign says. Sound upstreams report a fault in about one of a hundred answers.
const levels: Readonly<Record<SuspicionKind, number>> = {
  broken: 1,
  unreachable: 1,
  misplaced: 1,
  overdue: 0.7,
  faulty: 0.3,
};

// A good answer to a request that was sent after the last bad sign.
const goodAnswerFactor = 0.4;
// A bad sign this soon after the last hold ended makes the next hold longer.
const longestHoldFactor = 2;
const holdGrowth = 1.4;

/** Options of the book. */
export interface SuspicionBookOptions {
  /** How long one bad sign counts, in milliseconds; it fades evenly. */
  readonly holdMs: number;
}

/** Recent bad signs of upstreams, of this host and of others, as a level that fades. */
export default class SuspicionBook {
  private readonly holdMs: number;

  private readonly held = new Map<string, Held>();

  constructor(options: SuspicionBookOptions) {
    this.holdMs = options.holdMs;
  }

  /** Returns whether the sign changes what is believed, so that other hosts should hear of it. */
  addSuspicion({ upstream, incarnation, kind }: Suspicion, now: number): boolean {
    const held = this.held.get(upstream);
    if (held && held.incarnation > incarnation) return false;
    const isSameRun = held?.incarnation === incarnation;
    const before = isSameRun ? this.computeLevel(held, now) : 0;
    const level = Math.min(1, before + levels[kind]);
    const holdMs = isSameRun ? this.computeHold(held, now) : this.holdMs;
    this.held.set(upstream, { incarnation, level, seenAt: now, endsAt: now + holdMs, holdMs });
    return before < 0.9;
  }

  /** Takes a good answer to a request that was sent at the instant. */
  addGoodAnswer(upstream: string, sentAt: number): void {
    const held = this.held.get(upstream);
    if (held && held.seenAt < sentAt) held.level *= goodAnswerFactor;
  }

  /** 0 for an upstream without bad signs, up to 1. */
  getLevel(upstream: string, incarnation: number, now: number): number {
    const held = this.held.get(upstream);
    return held?.incarnation === incarnation ? this.computeLevel(held, now) : 0;
  }

  /** Forgets upstreams whose suspicion ended long ago. */
  pruneHeld(now: number): void {
    [...this.held]
      .filter(([, { endsAt, holdMs }]) => endsAt + holdMs < now)
      .forEach(([upstream]) => this.held.delete(upstream));
  }

  private computeLevel({ level, endsAt, holdMs }: Held, now: number): number {
    return Math.max(0, Math.min(1, (endsAt - now) / holdMs)) * level;
  }

  private computeHold(held: Held, now: number): number {
    const isRepeated = now > held.endsAt - held.holdMs / 2;
    if (!isRepeated) return held.holdMs;
    return Math.min(held.holdMs * holdGrowth, this.holdMs * longestHoldFactor);
  }
}
