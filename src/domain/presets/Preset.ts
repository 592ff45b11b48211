/** How early and how surely a service ejects upstreams. */
export type DetectionPreference = 'fast' | 'sure';

/** Whether an operation may be sent again after it may have run. */
export type RepeatRule = 'allowed' | 'never';

/**
 * Where the identity of an operation comes from on a route with `repeat: never`. `none`: each
 * request is an operation of its own, so that nothing is claimed for it.
 */
export type KeyRule = 'required' | 'generated' | 'none';

/** A service that gets a part of the requests of a route. */
export interface SplitPart {
  readonly service: string;
  /** Relative to the weights of the other parts; 0 gets nothing. */
  readonly weight: number;
}

/** What a caller may send and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Longest time for the headers of a request, in milliseconds. */
  readonly headersTimeoutMs: number;
  /** Longest time without a request on an open connection, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Settings of one service. */
export interface ServiceSettings {
  /** Number of upstreams the service normally has. */
  readonly upstreams: number;
  /** Ejections never leave fewer healthy upstreams than this. */
  readonly floor: number;
  readonly detection: DetectionPreference;
  /** Retries allowed per real request, 0 to 1. */
  readonly retryShare: number;
  /** Time over which the traffic of a fresh upstream grows to its full share, in milliseconds. */
  readonly rampMs: number;
  /** Whether answers repeat the request id and are refused when they do not. */
  readonly echoRequestId: boolean;
  /**
   * Service-level objective: the share of requests answered well within the time, in
   * milliseconds.
   */
  readonly objective: { readonly goodShare: number; readonly withinMs: number };
}

/** Settings of one route. */
export interface RouteSettings {
  readonly method: string;
  /** A find-my-way path pattern. */
  readonly path: string;
  readonly service: string;
  readonly repeat: RepeatRule;
  readonly key: KeyRule;
  /** Longest time a request may take, in milliseconds. */
  readonly deadlineMs: number;
  readonly maxBodyBytes: number;
  readonly maxAnswerBytes: number;
  /** `Host` that the route serves, in lower case without a port; any host when undefined. */
  readonly host?: string | undefined;
  /** Parts of the requests by service; all go to `service` when undefined. */
  readonly split?: readonly SplitPart[] | undefined;
  /** Most upstreams that may run one request; as many as the retry budget allows when undefined. */
  readonly maxAttempts?: number | undefined;
  /** Time for an answer of full value, in milliseconds. */
  readonly objectiveMs?: number | undefined;
  /** Rank when room is short, 0 is the highest; equal when undefined. */
  readonly priority?: number | undefined;
}

/** One named configuration of the whole fleet. */
export default interface Preset {
  readonly fleet: { readonly entryHosts: number };
  readonly services: Readonly<Record<string, ServiceSettings>>;
  readonly routes: readonly RouteSettings[];
  /** The front end's own limits apply when undefined. */
  readonly limits?: CallerLimits | undefined;
}
