import type ErrorKind from '../../domain/errors/ErrorKind.ts';

/** A caller's request that was answered. */
export interface AnsweredRequest {
  /** Undefined when no route matched. */
  readonly service: string | undefined;
  readonly startedAt: number;
  readonly endedAt: number;
  readonly status: number;
  /** Set when the fleet itself created the answer. */
  readonly errorKind: ErrorKind | undefined;
  readonly attempts: number;
}

/** Observes answered requests, for the service-level report. */
export default interface RequestObserver {
  recordRequest(request: AnsweredRequest): void;
}
