import type { CreatePolicy } from './policies.ts';
import FaultSimulation from './FaultSimulation.ts';
import type { FaultOutcome, FaultPattern } from './FaultSimulation.ts';

/** A pattern, a policy and the seeds to run them with. */
export interface PatternRunOptions {
  readonly pattern: FaultPattern;
  readonly createPolicy: CreatePolicy;
  readonly firstSeed: number;
  readonly seeds: number;
  /** Simulated time of each run, in milliseconds. */
  readonly durationMs: number;
}

function addOutcomes(sum: FaultOutcome, next: FaultOutcome): FaultOutcome {
  const fields = Object.keys(sum) as (keyof FaultOutcome)[];
  return Object.fromEntries(
    fields.map((field) => [field, sum[field] + next[field]]),
  ) as unknown as FaultOutcome;
}

/** Simulates a pattern under a policy with consecutive seeds and returns the summed outcomes. */
export default function runPattern(options: PatternRunOptions): FaultOutcome {
  const { pattern, createPolicy, firstSeed, seeds, durationMs } = options;
  return Array.from({ length: seeds }, (_, index) => firstSeed + index)
    .map((seed) =>
      new FaultSimulation({
        pattern,
        seed,
        durationMs,
        createPolicy: (readNow) => createPolicy(pattern, readNow),
      }).runSimulation(),
    )
    .reduce(addOutcomes);
}
