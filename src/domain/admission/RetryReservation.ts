import pruneMap from '../collections/pruneMap.ts';
import DecayingCount from './DecayingCount.ts';
import { compareRetryRanks } from './RetryRank.ts';
import type RetryRank from './RetryRank.ts';

// Short enough to follow the begin and the end of a fault.
const countMs = 2000;
// A host with a few requests a second sees each rank several times in this time.
const mixMs = 10_000;
// Part of the budget that is kept for demand that varies, if all of it were of more urgent ranks.
const variationShare = 0.2;
// Demand that requests do not earn is reserved for this time: the usual window of the budget, since
// a retry that was used does not return sooner.
const shortageMs = 10_000;
// A rank with a lower count is forgotten.
const minCount = 0.05;

/** Inputs of one decision. */
export interface RetryInputs {
  readonly rank: RetryRank;
  /** Retries that are left in the budget of all hosts that this host hears. */
  readonly left: number;
  /** Retries that these hosts used in the newest window. */
  readonly used: number;
  /** Number of these hosts, including this one. */
  readonly hosts: number;
  readonly now: number;
}

/** A decision and what it is based on. */
export interface RetryDecision {
  readonly isAllowed: boolean;
  /** Retries that are kept for more urgent ranks. */
  readonly reserved: number;
  /** Retries per second that more urgent ranks ask for at all hosts. */
  readonly urgentPerSecond: number;
}

interface RankDemand {
  readonly rank: RetryRank;
  readonly asked: DecayingCount;
}

/**
 * Keeps scarce retries of one service for the most urgent requests that need them. What is kept
 * follows the retries that more urgent ranks lately asked this host for, so that with one rank, or
 * with enough left, no request goes without. Similar to trunk reservation in telephone networks.
 */
export default class RetryReservation {
  private readonly share: number;

  private readonly requests = new DecayingCount({ decayMs: countMs });

  /** Retries that requests of any rank asked for. */
  private readonly asked = new DecayingCount({ decayMs: countMs });

  private readonly demands = new Map<string, RankDemand>();

  /** Each request earns `share` of a retry. */
  constructor(options: { readonly share: number }) {
    this.share = options.share;
  }

  /** Records a request, which earns its share of a retry. */
  recordRequest(now: number): void {
    this.requests.addEvent(now);
  }

  /** Decides whether a request may take a retry, and counts its demand. */
  decideRetry(inputs: RetryInputs): RetryDecision {
    const { rank, now } = inputs;
    const decision = this.readDecision(inputs);
    const key = `${rank.use} ${rank.team} ${rank.route}`;
    const demand = this.demands.get(key) ?? this.createDemand(rank);
    demand.asked.addEvent(now);
    this.asked.addEvent(now);
    this.demands.set(key, demand);
    pruneMap(this.demands, ({ asked }) => asked.readCount(now) < minCount);
    return decision;
  }

  /** What a request of a rank would be told now; counts nothing. */
  readDecision({ rank, left, used, hosts, now }: RetryInputs): RetryDecision {
    const count = this.asked.readCount(now);
    // One deviation below the count, so that a single retry reserves nothing.
    const asked = Math.max(0, count - Math.sqrt(count)) / countMs;
    const urgentShare = this.readUrgentShare(rank, now);
    const urgent = asked * urgentShare;
    const earned = (this.share * this.requests.readCount(now)) / countMs;
    const variation = variationShare * urgentShare * (used + left);
    const reserved = Math.max(variation, hosts * (urgent - earned) * shortageMs);
    const urgentPerSecond = 1000 * hosts * urgent;
    return { isAllowed: reserved <= 0 || left >= reserved + 1, reserved, urgentPerSecond };
  }

  /** Share of the retries that were asked for by more urgent ranks. */
  private readUrgentShare(rank: RetryRank, now: number): number {
    const demands = [...this.demands.values()];
    const sumCounts = (counted: readonly RankDemand[]): number =>
      counted.reduce((sum, demand) => sum + demand.asked.readCount(now), 0);
    const urgent = demands.filter((demand) => compareRetryRanks(demand.rank, rank) < 0);
    return urgent.length === 0 ? 0 : sumCounts(urgent) / sumCounts(demands);
  }

  private createDemand(rank: RetryRank): RankDemand {
    return { rank, asked: new DecayingCount({ decayMs: mixMs }) };
  }
}
