import type AttemptObservation from '../../domain/requests/AttemptObservation.ts';

/** A request that was just sent to an upstream. */
export interface OpenRequest {
  readonly requestId: string;
  readonly service: string;
  readonly upstream: string;
  readonly startedAt: number;
}

/** Follows requests to upstreams as evidence of their health and load. */
export default interface AttemptObserver {
  recordStart(request: OpenRequest): void;
  recordEnd(requestId: string, observation: AttemptObservation): void;
}
