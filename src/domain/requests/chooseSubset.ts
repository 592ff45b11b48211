import { createHash } from 'node:crypto';

/** Maximum number of upstreams of one service to which one host sends requests. */
export const maxSubsetSize = 16;

/** Score of an upstream for a host; rendezvous hashing chooses the highest scores. */
function computeScore(host: string, upstream: string): bigint {
  return createHash('sha256').update(`${host}\n${upstream}`).digest().readBigUInt64BE(0);
}

/**
 * Chooses the upstreams that a host uses, by rendezvous hashing: hosts choose different subsets,
 * and a change of one upstream changes a subset by at most one. Returns all when there are at most
 * `maxSubsetSize`. Source: D. Thaler, C. Ravishankar, A Name-Based Mapping Scheme for Rendezvous,
 * 1996.
 */
export default function chooseSubset(
  host: string,
  upstreams: readonly string[],
): ReadonlySet<string> {
  if (upstreams.length <= maxSubsetSize) return new Set(upstreams);
  const scored = upstreams.map((upstream) => ({ upstream, score: computeScore(host, upstream) }));
  const best = scored
    .sort((a, b) => (a.score < b.score ? 1 : -1))
    .slice(0, maxSubsetSize)
    .map(({ upstream }) => upstream);
  return new Set(best);
}
