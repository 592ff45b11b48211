import type ErrorKind from '../../domain/errors/ErrorKind.ts';
import type Outcome from '../../domain/errors/Outcome.ts';
import type { RouteSettings, ServiceSettings } from '../../domain/presets/Preset.ts';
import type CallerIdentity from '../../domain/teams/CallerIdentity.ts';

/** A caller's request, including its whole body. */
export default interface CallerRequest {
  readonly method: string;
  /** Path with query. */
  readonly target: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Uint8Array;
  /** Route that `RequestHandler.openRequest` found. */
  readonly route: RouteSettings;
  /** Settings of the route's service, from the preset that had the route. */
  readonly service: ServiceSettings;
  readonly identity: CallerIdentity;
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
  /**
   * Whether the body is sent without a length, so that only the close of the connection marks its
   * end.
   */
  readonly isUnframed?: boolean | undefined;
  /** Instant at which the caller should retry; set only on refusals for which a retry may help. */
  readonly retryAt?: number | undefined;
}
