import type { UpstreamTrait } from './UpstreamTrait.ts';

/** The upstreams, the load and the injected faults of one simulated service. */
export interface FaultPattern {
  readonly name: string;
  /** Number of upstreams in each failure domain. */
  readonly upstreams: readonly number[];
  /** In this many failure domains, the first upstream is unreachable during the whole run. */
  readonly unreachableCount: number;
  readonly slots: number;
  /** Maximum number of requests in the queue of an upstream; it refuses further ones. */
  readonly maxQueue: number;
  /** Mean processing time of a request, in milliseconds. */
  readonly workMs: number;
  /** Standard deviation of the logarithm of the processing time. */
  readonly workSpread: number;
  readonly requestsPerSecond: number;
  readonly isIdempotent: boolean;
  /** Latency objective, in milliseconds; a slower answer counts as late. */
  readonly objectiveMs: number;
  readonly answerBytes: number;
  /** Length of a fault period in milliseconds; whether an upstream is faulty is drawn for each. */
  readonly faultMs: number;
  /** Probability that an upstream is faulty for one fault period. */
  readonly faultShare: number;
  /** Share of requests that a faulty upstream resets. */
  readonly resetShare: number;
  /** Share of requests that are reset besides those that faults reset. */
  readonly strayResetShare: number;
  /** Entry hosts in each failure domain; 15 unless set. */
  readonly hostsPerDomain?: number;
  /**
   * Time until the other hosts of a failure domain count a request that was started and a load that
   * was reported, in milliseconds; 20 unless set.
   */
  readonly exchangeDelayMs?: number;
  /** Relative demand by failure domain; equal unless set. */
  readonly demand?: readonly number[];
  /** Upstreams that differ from the others for a time. */
  readonly traits?: readonly UpstreamTrait[];
  /** Share of requests that must not be repeated, besides those of `isIdempotent`; 0 unless set. */
  readonly singleRunShare?: number;
  /** Time for which hosts keep an idle connection, in milliseconds; 4,000 unless set. */
  readonly keepAliveMs?: number;
}

/** Counts of the results of a pattern under a policy. */
export interface FaultOutcome {
  readonly requests: number;
  /** Requests answered within the latency objective. */
  readonly inTime: number;
  readonly late: number;
  /** Requests whose last attempt was reset or got a faulty answer. */
  readonly lost: number;
  readonly refused: number;
  readonly retries: number;
  /** Attempts that were reset, by a faulty or a healthy upstream. */
  readonly resets: number;
  /** Bytes of answers from an upstream in another failure domain than the entry host. */
  readonly crossDomainBytes: number;
  /** Connections to upstreams that were opened. */
  readonly opened: number;
  /** Requests that the busiest upstream ran, over the mean of all. */
  readonly busiestOverMean: number;
}
