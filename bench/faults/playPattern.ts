import type { CreatePolicy } from './policies.ts';
import FaultSimulation from '../faults/FaultSimulation.ts';
import type { FaultOutcome, FaultPattern } from '../faults/FaultSimulation.ts';

/** What to play. */
export interface PlayOptions {
  readonly pattern: FaultPattern;
  readonly create: CreatePolicy;
  readonly firstSeed: number;
  readonly seeds: number;
  /** Simulated time of each run. */
  readonly durationMs: number;
}

function addOutcomes(sum: FaultOutcome, next: FaultOutcome): FaultOutcome {
  const fields = Object.keys(sum) as (keyof FaultOutcome)[];
  return Object.fromEntries(
    fields.map((field) => [field, sum[field] + next[field]]),
  ) as unknown as FaultOutcome;
}

/** Plays a pattern under a policy with consecutive seeds and adds up how the runs ended. */
export default function playPattern(options: PlayOptions): FaultOutcome {
  const { pattern, create, firstSeed, seeds, durationMs } = options;
  return Array.from({ length: seeds }, (_, index) => firstSeed + index)
    .map((seed) =>
      new FaultSimulation({
        pattern,
        seed,
        durationMs,
        createPolicy: (readNow) => create(pattern, readNow),
      }).runModel(),
    )
    .reduce(addOutcomes);
}
