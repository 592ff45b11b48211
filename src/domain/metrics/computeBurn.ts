import { burnWindows } from './BurnWindow.ts';
import type { BurnWindow, RequestCounts, WindowCounts } from './BurnWindow.ts';

/** How fast a service spends its error budget. */
export interface ServiceBurn {
  /** Share of requests that may be bad. */
  readonly allowedShare: number;
  /** Remaining share of the budget of the longest window; negative when it is overspent. */
  readonly budgetLeft: number;
  /** Bad share divided by the allowed share: 1 spends the budget exactly; 0 without requests. */
  readonly burnRates: Readonly<Record<BurnWindow, number>>;
}

function computeBurnRate({ good, bad }: RequestCounts, allowedShare: number): number {
  const total = good + bad;
  return total === 0 ? 0 : bad / total / allowedShare;
}

/** Adds the counts of several hosts. */
export function mergeCounts(counts: readonly WindowCounts[]): WindowCounts {
  const merge = (window: BurnWindow): RequestCounts => ({
    good: counts.reduce((total, item) => total + item[window].good, 0),
    bad: counts.reduce((total, item) => total + item[window].bad, 0),
  });
  return { '5m': merge('5m'), '1h': merge('1h'), '6h': merge('6h'), '3d': merge('3d') };
}

/** Computes burn rates from the counts of all hosts and the objective's share of good requests. */
export default function computeBurn(counts: WindowCounts, goodShare: number): ServiceBurn {
  const allowedShare = 1 - goodShare;
  const rates = burnWindows.map(
    (window) => [window, computeBurnRate(counts[window], allowedShare)] as const,
  );
  const burnRates = Object.fromEntries(rates) as Record<BurnWindow, number>;
  return { allowedShare, budgetLeft: 1 - burnRates['3d'], burnRates };
}
