import type ErrorKind from '../../domain/errors/ErrorKind.ts';

/** How a request ended while the active preset had teams. */
export interface TeamResult {
  /** Name of the request's team; undefined if it has none. */
  readonly team: string | undefined;
  /** Why the fleet refused the request; undefined if it was admitted. */
  readonly refusal: ErrorKind | undefined;
}

/** Observes the results of requests by team. */
export default interface TeamObserver {
  recordResult(result: TeamResult): void;
}
