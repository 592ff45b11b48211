import type UsableUpstream from './UsableUpstream.ts';

/** What the balancer knows about the load of an upstream. */
export interface UpstreamLoad {
  /** Requests of this host now open at the upstream. */
  readonly inFlight: number;
  /** Slots in use as last reported on an answer, and the instant of that answer. */
  readonly reportedLoad: number;
  readonly reportedAt: number;
}

/** One choice to make. */
export interface BalancerChoice {
  readonly candidates: readonly UsableUpstream[];
  /**
   * How scarce the attempts are that may follow when this one fails: from 0 to 1, when none may
   * follow; 0 unless set.
   */
  readonly retryScarcity?: number;
  readonly readLoad: (upstream: string) => UpstreamLoad;
  readonly now: number;
  /** A random number from 0 up to, but not including, 1. */
  readonly random: () => number;
  readonly failureDomain: string;
}

/** Chooses the upstream of a request. */
export default interface Balancer {
  /** Returns undefined when there is no candidate. */
  chooseUpstream(choice: BalancerChoice): UsableUpstream | undefined;
}
