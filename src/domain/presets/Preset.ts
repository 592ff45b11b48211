/** Whether a service ejects upstreams early or only once it is certain that they fail. */
export type DetectionPreference = 'fast' | 'sure';

/** Whether an operation may be sent again after it may have run. */
export type RepeatRule = 'allowed' | 'never';

/**
 * Where the key that identifies an operation comes from on a route with `repeat: never`. With
 * `none`, each request is a separate operation, so no key is claimed for it.
 */
export type KeyRule = 'required' | 'generated' | 'none';

/** A service that receives a part of the requests of a route. */
export interface SplitPart {
  readonly service: string;
  /** Relative to the weights of the other parts; a part of weight 0 receives no requests. */
  readonly weight: number;
}

/** Limits on the size and the timing of callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Maximum time for the headers of a request, in milliseconds. */
  readonly headersTimeoutMs: number;
  /** Maximum time without a request on an open connection, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Settings of one service. */
export interface ServiceSettings {
  /** Number of upstreams the service normally has. */
  readonly upstreams: number;
  /** Ejections never leave fewer healthy upstreams than this. */
  readonly floor: number;
  readonly detection: DetectionPreference;
  /** Retries allowed for each request of a caller, 0 to 1. */
  readonly retryShare: number;
  /**
   * Time over which the traffic of a newly started upstream grows to its full share, in
   * milliseconds.
   */
  readonly rampMs: number;
  /** Whether an answer must repeat the request id; an answer without it is refused. */
  readonly echoRequestId: boolean;
  /**
   * Service-level objective: the share of requests that must succeed within a time, in
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
  /** Maximum time that a request may take, in milliseconds. */
  readonly deadlineMs: number;
  readonly maxBodyBytes: number;
  readonly maxAnswerBytes: number;
  /**
   * `Host` header of the requests that the route serves, in lower case without a port; any when
   * undefined.
   */
  readonly host?: string | undefined;
  /** Parts of the traffic by service; all requests go to `service` when undefined. */
  readonly split?: readonly SplitPart[] | undefined;
  /**
   * Maximum number of upstreams that may run one request; limited only by the retry budget when
   * undefined.
   */
  readonly maxAttempts?: number | undefined;
  /** Time within which an answer has its full value to the caller, in milliseconds. */
  readonly objectiveMs?: number | undefined;
  /**
   * Rank of the route when capacity is short, 0 is the highest; all routes rank equally when
   * undefined.
   */
  readonly priority?: number | undefined;
  /** Whether requests need no key of a team; false when undefined. */
  readonly isPublic?: boolean | undefined;
}

/** A group of callers that share keys, a quota and a priority. */
export interface TeamSettings {
  readonly name: string;
  /** Keys that callers of the team send with each request; none after all were withdrawn. */
  readonly keys: readonly string[];
  /** Rank of the team's requests, which goes before the rank of the route; 0 is the highest. */
  readonly priority?: number | undefined;
  /** Requests per second over the whole fleet; no limit when undefined. */
  readonly requestsPerSecond?: number | undefined;
  /** Requests beyond the rate that may come at once, over the whole fleet. */
  readonly burst: number;
}

/** One named configuration of the whole fleet. */
export default interface Preset {
  readonly fleet: { readonly entryHosts: number };
  readonly services: Readonly<Record<string, ServiceSettings>>;
  readonly routes: readonly RouteSettings[];
  /** The default limits of the front end apply when undefined. */
  readonly limits?: CallerLimits | undefined;
  /** Callers need no key of a team when undefined. */
  readonly teams?: readonly TeamSettings[] | undefined;
}
