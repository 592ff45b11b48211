import { keepSizeMs } from '../presets/addEarlierSize.ts';
import type EarlierSize from '../presets/EarlierSize.ts';

// Hosts above a lowered `fleet.entry_hosts` have stopped after this time.
const removalMs = 600_000;

function computeMajority(entryHosts: number): number {
  return Math.floor(entryHosts / 2) + 1;
}

/**
 * Number of grants that a judge needs: a majority of the entry hosts that may run, and so many that
 * the others are no majority of any `fleet.entry_hosts` that a host may still have in force.
 */
export default function computeNeededGrants(options: {
  /** Entry hosts that run by the preset in force, or by the directory if those are more. */
  readonly entryHosts: number;
  readonly earlier: readonly EarlierSize[];
  readonly now: number;
}): number {
  const { entryHosts, earlier, now } = options;
  const listSince = (ms: number) =>
    earlier.filter(({ replacedAt }) => replacedAt + ms > now).map((size) => size.entryHosts);
  const running = Math.max(entryHosts, ...listSince(removalMs));
  const smallest = Math.min(...listSince(keepSizeMs).map(computeMajority));
  return Math.max(computeMajority(running), running + 1 - smallest);
}
