/** How early and how surely a service ejects upstreams. */
export type DetectionPreference = 'fast' | 'sure';

/** Whether an operation may be sent again after it may have run. */
export type RepeatRule = 'allowed' | 'never';

/** Whether a caller must bring its own idempotency key on a route with `repeat: never`. */
export type KeyRule = 'required' | 'generated';

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
}

/** One named configuration of the whole fleet. */
export default interface Preset {
  readonly fleet: { readonly entryHosts: number };
  readonly services: Readonly<Record<string, ServiceSettings>>;
  readonly routes: readonly RouteSettings[];
}
