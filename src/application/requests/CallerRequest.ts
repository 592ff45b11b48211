import type ErrorKind from '../../domain/errors/ErrorKind.ts';
import type Outcome from '../../domain/errors/Outcome.ts';
import type { RouteSettings } from '../../domain/presets/Preset.ts';

/** A caller's request, whole. */
export default interface CallerRequest {
  readonly method: string;
  /** Path with query. */
  readonly target: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
  /** The route that `openRequest` found. */
  readonly route: RouteSettings;
  readonly receivedAt: number;
  readonly deadline: number;
  /** The id that the caller gave the request, or one of this host. */
  readonly requestId: string;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** What the caller receives. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
  readonly outcome: Outcome;
  /** Set when the fleet itself made the answer. */
  readonly errorKind: ErrorKind | undefined;
  /** Whether the end of the connection must be the only sign of the end of the body. */
  readonly isUnframed?: boolean | undefined;
  /** Instant at which the caller should come back, on refusals for lack of room. */
  readonly retryAt?: number | undefined;
}
