import type { GossipDigest } from './GossipTopic.ts';

/**
 * Compares two versions number by number; a missing number is lower than any other. The result is
 * negative when `left` is older and positive when it is newer.
 */
export default function compareVersions(left: readonly number[], right: readonly number[]): number {
  const index = left.findIndex((number, position) => number !== right[position]);
  if (index === -1) return left.length - right.length;
  return (left[index] ?? 0) - (right[index] ?? -Infinity);
}

/** Whether a version is newer than the one in the digest, or the digest lacks its key. */
export function isNewerThanDigest(
  digest: GossipDigest,
  key: string,
  version: readonly number[],
): boolean {
  // Keys come from other hosts and may be names of inherited properties.
  const known = Object.hasOwn(digest, key) ? digest[key] : undefined;
  return !known || compareVersions(version, known) > 0;
}

/**
 * Lists the keys that are newer in the other side's digest, with the local versions; a version
 * is empty when the local digest lacks its key.
 */
export function listOutdated(local: GossipDigest, other: GossipDigest): GossipDigest {
  return Object.fromEntries(
    Object.entries(other)
      .filter(([key, version]) => isNewerThanDigest(local, key, version))
      .map(([key]) => [key, (Object.hasOwn(local, key) ? local[key] : undefined) ?? []]),
  );
}

/** The local versions of the given keys, without the keys that the local digest lacks. */
export function readVersions(local: GossipDigest, keys: GossipDigest = {}): GossipDigest {
  return Object.fromEntries(
    Object.keys(keys).flatMap((key) => {
      const version = Object.hasOwn(local, key) ? local[key] : undefined;
      return version ? [[key, version]] : [];
    }),
  );
}
