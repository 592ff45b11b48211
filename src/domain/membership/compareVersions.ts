import type { GossipDigest } from './GossipTopic.ts';

/** Orders two versions pairwise; a missing number counts as lower than any. */
export default function compareVersions(left: readonly number[], right: readonly number[]): number {
  const index = left.findIndex((number, at) => number !== right[at]);
  if (index === -1) return left.length - right.length;
  return (left[index] ?? 0) - (right[index] ?? -Infinity);
}

/** Whether a version is above the one in the digest, or missing there. */
export function isNewerThanDigest(
  digest: GossipDigest,
  key: string,
  version: readonly number[],
): boolean {
  // Keys come from other hosts and may be names of inherited properties.
  const known = Object.hasOwn(digest, key) ? digest[key] : undefined;
  return !known || compareVersions(version, known) > 0;
}

/** The versions held of the keys that the other side's digest has newer; empty when missing. */
export function listLacking(local: GossipDigest, other: GossipDigest): GossipDigest {
  return Object.fromEntries(
    Object.entries(other)
      .filter(([key, version]) => isNewerThanDigest(local, key, version))
      .map(([key]) => [key, (Object.hasOwn(local, key) ? local[key] : undefined) ?? []]),
  );
}

/** The versions held of the keys in the other digest. */
export function readVersions(local: GossipDigest, keys: GossipDigest = {}): GossipDigest {
  return Object.fromEntries(
    Object.keys(keys).flatMap((key) => {
      const version = Object.hasOwn(local, key) ? local[key] : undefined;
      return version ? [[key, version]] : [];
    }),
  );
}
