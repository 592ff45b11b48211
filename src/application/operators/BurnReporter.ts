import type Result from '../../domain/errors/Result.ts';

/** Requests of one service in one time window up to now. */
export interface BurnWindow {
  readonly windowMs: number;
  readonly requests: number;
  readonly goodShare: number;
  /** Share of bad requests divided by the share that the objective allows. */
  readonly burnRate: number;
}

/** How fast one service uses up its error budget. */
export interface ServiceBurn {
  readonly service: string;
  readonly objective: { readonly goodShare: number; readonly withinMs: number };
  /** Shortest window first. */
  readonly windows: readonly BurnWindow[];
}

/** Reports the service-level burn of the whole fleet. */
export default interface BurnReporter {
  reportBurn(deadline: number): Promise<Result<readonly ServiceBurn[]>>;
}
