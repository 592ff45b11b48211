import pruneMap from '../collections/pruneMap.ts';
import DecayingCount from './DecayingCount.ts';
import type RequestRank from './RequestRank.ts';

// Refused callers compete for room with those that were refused within about this time.
const countMs = 1000;
// A rank with a lower count is forgotten.
const minCount = 0.05;
// Callers come back no earlier than this, and are spread over at least twice the time.
const minReturnMs = 50;
const minSpreadMs = 100;
// Over the wait alone, callers return as fast as slots become free, and the first find none.
const spreadWaits = 2;
// A caller that comes back later than this share of its time can hardly be served any more.
const maxLeftShare = 1 / 3;

/** A refused request. */
export interface RefusedRequest {
  readonly rank: RequestRank;
  readonly deadline: number;
  /** Time until room is expected, in milliseconds. */
  readonly waitMs: number;
  readonly now: number;
  /** A random number from 0 up to, but not including, 1. */
  readonly random: number;
}

interface RefusedRank {
  readonly rank: RequestRank;
  readonly refused: DecayingCount;
}

function compareRanks(first: RequestRank, second: RequestRank): number {
  return first.team === second.team ? first.route - second.route : first.team - second.team;
}

/**
 * Spreads the callers that one service refused for want of room over twice the time until room
 * is expected, in the order of their ranks.
 */
export default class ReturnOrder {
  private readonly ranks = new Map<string, RefusedRank>();

  /** Counts a refusal and returns the instant at which its caller should come back. */
  drawReturnTime({ rank, deadline, waitMs, now, random }: RefusedRequest): number {
    const key = `${rank.team} ${rank.route}`;
    const own = this.ranks.get(key) ?? { rank, refused: new DecayingCount({ decayMs: countMs }) };
    own.refused.addEvent(now);
    this.ranks.set(key, own);
    pruneMap(this.ranks, ({ refused }) => refused.readCount(now) < minCount);
    const sumCounts = (ranks: readonly RefusedRank[]): number =>
      ranks.reduce((sum, { refused }) => sum + refused.readCount(now), 0);
    const all = [...this.ranks.values()];
    const earlier = sumCounts(all.filter((other) => compareRanks(other.rank, rank) < 0));
    const position = (earlier + random * own.refused.readCount(now)) / sumCounts(all);
    const wantedMs = Math.max(minSpreadMs, spreadWaits * waitMs);
    const spreadMs = Math.min(wantedMs, (deadline - now) * maxLeftShare);
    return now + Math.max(minReturnMs, spreadMs * position);
  }
}
