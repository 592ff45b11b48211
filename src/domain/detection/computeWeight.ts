import type UpstreamRecord from '../membership/UpstreamRecord.ts';

/** Share of full traffic during probation and at the begin of a ramp. */
export const lowestWeight = 0.1;

/** Share of full traffic of an upstream: lower on probation and while it ramps up. */
export default function computeWeight(options: {
  readonly record: UpstreamRecord;
  readonly onProbation: boolean;
  readonly rampMs: number;
  readonly now: number;
}): number {
  const { record, onProbation, rampMs, now } = options;
  if (onProbation) return lowestWeight;
  const age = now - record.servingSince;
  if (age >= rampMs) return 1;
  return Math.max(lowestWeight, age / rampMs);
}
