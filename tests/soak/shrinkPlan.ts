import type { SoakPlan, SoakStep } from './SoakPlan.ts';

function splitSteps(steps: readonly SoakStep[], parts: number): readonly (readonly SoakStep[])[] {
  const length = Math.ceil(steps.length / parts);
  return Array.from({ length: parts }, (_, index) =>
    steps.slice(index * length, (index + 1) * length),
  ).filter((part) => part.length > 0);
}

/**
 * Removes steps of a plan as long as it still fails, first in large parts and then one by one. Runs
 * of the same plan may differ, so the result is short rather than the shortest.
 */
export default async function shrinkPlan(
  plan: SoakPlan,
  hasFailed: (candidate: SoakPlan) => Promise<boolean>,
): Promise<SoakPlan> {
  let current = plan;
  let parts = 2;
  while (parts <= current.steps.length) {
    const { steps } = current;
    let smaller: SoakPlan | undefined;
    for (const part of splitSteps(steps, parts)) {
      const candidate = { ...current, steps: steps.filter((step) => !part.includes(step)) };
      if (!smaller && (await hasFailed(candidate))) smaller = candidate;
    }
    if (smaller) {
      current = smaller;
      parts = 2;
    } else parts *= 2;
  }
  return current;
}
