import type { CreatePolicy } from './policies.ts';
import SpellModel from './SpellModel.ts';
import type { SpellOutcome, SpellPattern } from './SpellModel.ts';

/** What to play. */
export interface PlayOptions {
  readonly pattern: SpellPattern;
  readonly create: CreatePolicy;
  readonly firstSeed: number;
  readonly seeds: number;
  /** Simulated time of each run. */
  readonly durationMs: number;
}

function addOutcomes(sum: SpellOutcome, next: SpellOutcome): SpellOutcome {
  const fields = Object.keys(sum) as (keyof SpellOutcome)[];
  return Object.fromEntries(
    fields.map((field) => [field, sum[field] + next[field]]),
  ) as unknown as SpellOutcome;
}

/** Plays a pattern under a policy with consecutive seeds and adds up how the runs ended. */
export default function playPattern(options: PlayOptions): SpellOutcome {
  const { pattern, create, firstSeed, seeds, durationMs } = options;
  return Array.from({ length: seeds }, (_, index) => firstSeed + index)
    .map((seed) =>
      new SpellModel({
        pattern,
        seed,
        durationMs,
        createPolicy: (readNow) => create(pattern, readNow),
      }).runModel(),
    )
    .reduce(addOutcomes);
}
