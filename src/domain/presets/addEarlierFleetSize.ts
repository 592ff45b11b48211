import type EarlierFleetSize from './EarlierFleetSize.ts';

/**
 * Time for which an earlier `fleet.entry_hosts` is kept: a host may be cut off from newer presets
 * for as long.
 */
export const fleetSizeRetentionMs = 86_400_000;

/** The earlier sizes with one more, each number once, without those that are too old. */
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
