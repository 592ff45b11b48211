import type ErrorKind from '../../domain/errors/ErrorKind.ts';
import type Outcome from '../../domain/errors/Outcome.ts';
import type { RouteSettings } from '../../domain/presets/Preset.ts';

/** A complete request of a caller. */
export default interface CallerRequest {
  readonly method: string;
  /** Path with query. */
  readonly target: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
  /** Route that `openRequest` found. */
  readonly route: RouteSettings;
  readonly receivedAt: number;
  readonly deadline: number;
  /** Request id that the caller set, or else one that this host created. */
  readonly requestId: string;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** The answer to a caller's request. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
  readonly outcome: Outcome;
  /** Set when the fleet itself created the answer. */
  readonly errorKind: ErrorKind | undefined;
  /** Whether only the close of the connection may mark the end of the body. */
  readonly isUnframed?: boolean | undefined;
  /** Instant at which the caller should retry, on refusals that a retry may overcome. */
  readonly retryAt?: number | undefined;
}
