import type Clock from '../../ports/Clock.ts';
import type Log from '../../ports/Log.ts';

/** Options of the steps of a stop. */
export interface StopStepsOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** No step is awaited after this time; `Infinity` if there is none. */
  readonly deadline: number;
}

/** Runs the steps of a stop. A step that fails or hangs must not prevent the later ones. */
export default class StopSteps {
  private readonly options: StopStepsOptions;

  constructor(options: StopStepsOptions) {
    this.options = options;
  }

  /** Resolves when the step has ended or failed, or at the deadline. Never rejects. */
  async runStep(name: string, step: () => Promise<void> | void): Promise<void> {
    const { clock, log, deadline } = this.options;
    const ended = new AbortController();
    const running = this.runLogged(name, step).then(() => ended.abort('ended'));
    await Promise.race([running, clock.sleepUntil(deadline, ended.signal)]);
    if (!ended.signal.aborted) log.warn(`lifecycle: ${name} takes too long`, { deadline });
  }

  private async runLogged(name: string, step: () => Promise<void> | void): Promise<void> {
    try {
      await step();
    } catch (error) {
      this.options.log.error(`lifecycle: ${name} failed`, { error: (error as Error).message });
    }
  }
}
