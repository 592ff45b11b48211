import type AttemptObservation from '../../domain/requests/AttemptObservation.ts';

/** An attempt that was started at an upstream. */
export interface StartedAttempt {
  readonly requestId: string;
  readonly service: string;
  /** Kind of the request; requests of one kind take about the same time. */
  readonly operation: string;
  readonly upstream: string;
  readonly startedAt: number;
  /** Estimated time until the answer, in service times of the upstream; 1 without a queue. */
  readonly serviceTimes: number;
}

/** Observes attempts at upstreams as evidence of the upstreams' health and load. */
export default interface AttemptObserver {
  recordStart(attempt: StartedAttempt): void;
  recordEnd(requestId: string, observation: AttemptObservation): void;
}
