import type UsableUpstream from './UsableUpstream.ts';

/** Load of an upstream as known to the balancer. */
export interface UpstreamLoad {
  /** Open requests at the upstream, from this host or from all hosts that share their counts. */
  readonly inFlight: number;
  /** Number of used slots that the latest answer reported; `reportedAt` is its instant. */
  readonly reportedLoad: number;
  readonly reportedAt: number;
}

/** Input of one balancing decision. */
export interface BalancerChoice {
  readonly candidates: readonly UsableUpstream[];
  /** Kind of the request; requests of one kind get answers of about the same size. */
  readonly operation?: string;
  /**
   * Scarcity of retries in case this attempt fails: from 0, while all are available, to 1, when
   * none is allowed. The default is 0.
   */
  readonly retryScarcity?: number;
  readonly readLoad: (upstream: string) => UpstreamLoad;
  /**
   * Whether this host has an idle connection that the request may use; undefined when the request
   * needs a connection of its own.
   */
  readonly hasIdleConnection?: (upstream: UsableUpstream) => boolean;
  readonly now: number;
  /** A random number from 0 up to, but not including, 1. */
  readonly random: () => number;
  readonly failureDomain: string;
}

/** Chooses the upstream for an attempt. */
export default interface Balancer {
  /** Returns undefined when there is no candidate. */
  chooseUpstream(choice: BalancerChoice): UsableUpstream | undefined;
}
