import { fleetSizeRetentionMs } from '../presets/addEarlierFleetSize.ts';
import type EarlierFleetSize from '../presets/EarlierFleetSize.ts';

// Within this time after `fleet.entry_hosts` was lowered, the surplus hosts have stopped.
const removalMs = 600_000;

function computeMajority(entryHosts: number): number {
  return Math.floor(entryHosts / 2) + 1;
}

/**
 * Number of leases that a coordinator needs: a majority of the entry hosts that may be running, and
 * so many that the other hosts are no majority of any `fleet.entry_hosts` that may still be active
 * on some host.
 */
export default function computeLeaseQuorum(options: {
  /** Number of entry hosts by the active preset or by the directory, whichever is higher. */
  readonly entryHosts: number;
  readonly earlier: readonly EarlierFleetSize[];
  readonly now: number;
}): number {
  const { entryHosts, earlier, now } = options;
  const listSince = (periodMs: number) =>
    earlier.filter(({ replacedAt }) => replacedAt + periodMs > now).map((size) => size.entryHosts);
  const maxRunning = Math.max(entryHosts, ...listSince(removalMs));
  const smallestMajority = Math.min(...listSince(fleetSizeRetentionMs).map(computeMajority));
  return Math.max(computeMajority(maxRunning), maxRunning + 1 - smallestMajority);
}
