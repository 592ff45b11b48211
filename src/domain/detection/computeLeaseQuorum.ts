import { fleetSizeRetentionMs } from '../presets/addEarlierFleetSize.ts';
import type EarlierFleetSize from '../presets/EarlierFleetSize.ts';

// Hosts above a lowered `fleet.entry_hosts` have stopped after this time.
const removalMs = 600_000;

function computeMajority(entryHosts: number): number {
  return Math.floor(entryHosts / 2) + 1;
}

/**
 * Number of leases that a coordinator needs: a majority of the entry hosts that may run, and enough
 * that the remaining hosts are no majority of any `fleet.entry_hosts` that may still be active on
 * some host.
 */
export default function computeLeaseQuorum(options: {
  /** Number of entry hosts by the active preset or by the directory, whichever is higher. */
  readonly entryHosts: number;
  readonly earlier: readonly EarlierFleetSize[];
  readonly now: number;
}): number {
  const { entryHosts, earlier, now } = options;
  const listSince = (ms: number) =>
    earlier.filter(({ replacedAt }) => replacedAt + ms > now).map((size) => size.entryHosts);
  const running = Math.max(entryHosts, ...listSince(removalMs));
  const smallest = Math.min(...listSince(fleetSizeRetentionMs).map(computeMajority));
  return Math.max(computeMajority(running), running + 1 - smallest);
}
