import type RequestRank from './RequestRank.ts';

/** What a retry is for, the most useful first. */
export type RetryUse =
  /** A request that failed and can still be answered within its objective. */
  | 'in_time'
  /** A request that failed and will be answered late. */
  | 'late'
  /** A second upstream for a request that another one still works on. */
  | 'hedge';

/** Urgency of one retry. */
export default interface RetryRank extends RequestRank {
  readonly use: RetryUse;
}

const useOrder: Readonly<Record<RetryUse, number>> = { in_time: 0, late: 1, hedge: 2 };

/**
 * Compares two retries: negative if the first is more urgent. A hedge comes after all retries of
 * failed requests, because its request may be answered without it.
 */
export function compareRetryRanks(first: RetryRank, second: RetryRank): number {
  const listKeys = ({ use, team, route }: RetryRank): readonly number[] => [
    ...[use === 'hedge' ? 1 : 0, team, route],
    useOrder[use],
  ];
  const others = listKeys(second);
  // The difference of two infinite priorities is not a number.
  const differences = listKeys(first).map((key, index) => key - (others[index] ?? 0) || 0);
  return differences.find((difference) => difference !== 0) ?? 0;
}
