import type EarlierFleetSize from './EarlierFleetSize.ts';

/**
 * How long an earlier value of `fleet.entry_hosts` is kept, in milliseconds. A host may receive no
 * newer preset for this long.
 */
export const fleetSizeRetentionMs = 86_400_000;

/** Adds a size to the earlier ones, keeps each value once and drops those that are too old. */
export default function addEarlierFleetSize(
  sizes: readonly EarlierFleetSize[],
  added: EarlierFleetSize,
): readonly EarlierFleetSize[] {
  const kept = sizes.filter(
    ({ entryHosts, replacedAt }) =>
      entryHosts !== added.entryHosts && replacedAt + fleetSizeRetentionMs > added.replacedAt,
  );
  return [...kept, added];
}
