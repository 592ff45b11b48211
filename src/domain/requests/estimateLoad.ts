import type { UpstreamLoad } from './Balancer.ts';

/**
 * Estimates the requests that run or wait at an upstream. `halfLifeMs` is the time in which half of
 * the requests of a reported load have ended.
 */
export default function estimateLoad(
  { inFlight, reportedLoad, reportedAt }: UpstreamLoad,
  now: number,
  halfLifeMs: number,
): number {
  const ageMs = Math.max(0, now - reportedAt);
  return Math.max(inFlight, reportedLoad * 0.5 ** (ageMs / halfLifeMs));
}
