import type AnswerObservation from '../../domain/requests/AnswerObservation.ts';

/** A request that was just sent to an upstream. */
export interface OpenRequest {
  readonly requestId: string;
  readonly service: string;
  readonly upstream: string;
  readonly startedAt: number;
}

/** Follows requests to upstreams as evidence of their health and load. */
export default interface AnswerObserver {
  recordStart(request: OpenRequest): void;
  recordEnd(requestId: string, observation: AnswerObservation): void;
}
