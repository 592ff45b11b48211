import type EarlierSize from './EarlierSize.ts';

/**
 * Time for which an earlier `fleet.entry_hosts` is kept: a host may be cut off from newer presets
 * for as long.
 */
export const keepSizeMs = 86_400_000;

/** The earlier sizes with one more, each number once, without those that are too old. */
export default function addEarlierSize(
  sizes: readonly EarlierSize[],
  added: EarlierSize,
): readonly EarlierSize[] {
  const kept = sizes.filter(
    ({ entryHosts, replacedAt }) =>
      entryHosts !== added.entryHosts && replacedAt + keepSizeMs > added.replacedAt,
  );
  return [...kept, added];
}
