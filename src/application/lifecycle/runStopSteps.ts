import type Log from '../../ports/Log.ts';

/** What a step of a stop does, for the log, and the step itself. */
export type StopStep = readonly [name: string, step: () => Promise<void> | void];

/**
 * Runs the steps of a stop one after another. Never rejects: a step that fails is logged and does
 * not prevent the later ones, which other hosts or callers may wait for.
 */
export default async function runStopSteps(log: Log, steps: readonly StopStep[]): Promise<void> {
  for (const [name, step] of steps) {
    try {
      await step();
    } catch (error) {
      log.error(`lifecycle: ${name} failed`, { error: (error as Error).message });
    }
  }
}
