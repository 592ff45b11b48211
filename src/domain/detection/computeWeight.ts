import type UpstreamRecord from '../membership/UpstreamRecord.ts';

/** Share of full traffic during probation and at the beginning of a ramp. */
export const minWeight = 0.1;

/** Traffic share of an upstream, at most 1: lower on probation and while it ramps up. */
export default function computeWeight(options: {
  readonly record: UpstreamRecord;
  readonly onProbation: boolean;
  readonly rampMs: number;
  readonly now: number;
}): number {
  const { record, onProbation, rampMs, now } = options;
  if (onProbation) return minWeight;
  const age = now - record.servingSince;
  if (age >= rampMs) return 1;
  return Math.max(minWeight, age / rampMs);
}
