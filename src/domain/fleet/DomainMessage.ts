import type { Suspicion } from '../detection/SuspicionTracker.ts';
import type { RetryBalance } from '../requests/RetryAccount.ts';
import type { StatedLimit } from '../statements/UpstreamLimits.ts';
import type { QuotaReport } from '../teams/QuotaCounts.ts';

/** What an entry host reports about one upstream. */
export interface UpstreamActivity {
  readonly upstream: string;
  /** Open requests of the host at the upstream. */
  readonly inFlight: number;
  /** Load that the upstream reported to the host since its last message; undefined if none. */
  readonly reportedLoad: number | undefined;
  /** Whether the upstream showed evidence of a recovery since the last message of the host. */
  readonly hasRecovered: boolean;
  /** Requests that the host has sent to an upstream with a limit since its last message. */
  readonly limitedRequests: number;
  /** Limit that the upstream has stated since the last message; undefined if it has not changed. */
  readonly limit: Omit<StatedLimit, 'upstream'> | undefined;
  /**
   * Incarnation that has stated since the last message that it is leaving; undefined if none has.
   */
  readonly leavingIncarnation: number | undefined;
}

/** Asks a host for retries that it does not need. */
export interface RetryLoanRequest {
  /** Number that the loan repeats. */
  readonly id: number;
  readonly service: string;
  /** Retries that are missing; may be a fraction. */
  readonly retries: number;
}

/** Retries that a host lends to the one that asked. */
export interface RetryLoan {
  readonly id: number;
  /** As many as were asked for, or fewer. */
  readonly retries: number;
  /** Time for which they may be used, from the request for them on, in milliseconds. */
  readonly leftMs: number;
}

/** Message from an entry host to the others of its failure domain, or from a control host. */
export interface DomainMessage {
  /**
   * Whether a control host sums up what all entry hosts of the domain reported to it, including the
   * receiver.
   */
  readonly isDigest: boolean;
  readonly suspicions: readonly Suspicion[];
  /** Whether the sender has just started and asks which upstreams are suspected or limited. */
  readonly asksSuspicions: boolean;
  readonly upstreams: readonly UpstreamActivity[];
  /** Retries of the sender that are used and left, by service. */
  readonly retries: Readonly<Record<string, RetryBalance>>;
  readonly loanRequest: RetryLoanRequest | undefined;
  readonly loan: RetryLoan | undefined;
  /** Most entry hosts that the sender has known in its failure domain; undefined if not told. */
  readonly domainSize: number | undefined;
  /** Requests of teams; undefined unless teams have limits. */
  readonly teams: QuotaReport | undefined;
}

/** A report about an upstream that says nothing new; its name is to be added. */
export const emptyUpstreamActivity: Omit<UpstreamActivity, 'upstream'> = {
  inFlight: 0,
  reportedLoad: undefined,
  hasRecovered: false,
  limitedRequests: 0,
  limit: undefined,
  leavingIncarnation: undefined,
};

/** A message without content. */
export const emptyDomainMessage: DomainMessage = {
  isDigest: false,
  suspicions: [],
  asksSuspicions: false,
  upstreams: [],
  retries: {},
  loanRequest: undefined,
  loan: undefined,
  domainSize: undefined,
  teams: undefined,
};

/** Whether a message reports what hosts send; a message of a relay has suspicions only. */
export function hasReports({ upstreams, retries, teams }: DomainMessage): boolean {
  return upstreams.length > 0 || Object.keys(retries).length > 0 || teams !== undefined;
}
