import type { DomainMessage, UpstreamActivity } from '../../domain/fleet/DomainMessage.ts';
import type { RetryBalance } from '../../domain/requests/RetryAccount.ts';
import type { QuotaReport, QuotaRow } from '../../domain/teams/QuotaCounts.ts';

/** Upstream, incarnation and kind of a suspicion. */
export type SuspicionRow = readonly [string, number, string];

/**
 * Upstream, open requests, reported load, 1 after a recovery, requests under a limit, incarnation
 * and requests per second of a limit, incarnation that is leaving. Missing values at the end are
 * left out, others are null; a limit that has ended has only an incarnation.
 */
export type UpstreamRow = readonly [string, ...(number | null)[]];

/**
 * Account of a team, requests that were admitted, requests that were refused, level. Values at the
 * end that are 0 or missing are left out.
 */
export type EncodedTeamRow = readonly number[];

/** A message as it is sent: an entry host sends many, so names are short and empty parts absent. */
export interface EncodedDomainMessage {
  readonly s?: readonly SuspicionRow[];
  /** Present in a digest. */
  readonly d?: 1;
  /** Present if the sender asks for suspicions. */
  readonly a?: 1;
  readonly u?: readonly UpstreamRow[];
  /** Used and left retries by service, in tenths. */
  readonly r?: Readonly<Record<string, readonly [number, number]>>;
  /** Number of a request for retries, service and missing retries. */
  readonly q?: readonly [number, string, number];
  /** Number of the request, retries that are lent, and milliseconds for which they may be used. */
  readonly l?: readonly [number, number, number];
  /** Most entry hosts that the sender has known in its failure domain. */
  readonly n?: number;
  /** Requests by team; present, perhaps empty, if teams have limits. */
  readonly t?: Readonly<Record<string, EncodedTeamRow>>;
  /** Hosts whose requests of teams a digest sums up. */
  readonly h?: number;
  /** Present if the levels of all teams are told. */
  readonly v?: 1;
}

function encodeUpstream(activity: UpstreamActivity): UpstreamRow {
  const {
    upstream,
    inFlight,
    reportedLoad,
    hasRecovered,
    limitedRequests,
    limit,
    leavingIncarnation,
  } = activity;
  const values = [
    inFlight,
    reportedLoad ?? null,
    hasRecovered ? 1 : null,
    limitedRequests > 0 ? limitedRequests : null,
    limit?.incarnation ?? null,
    limit?.requestsPerSecond ?? null,
    leavingIncarnation ?? null,
  ];
  const length = 1 + values.findLastIndex((value) => value !== null);
  return [upstream, ...values.slice(0, length)];
}

function encodeRetries(retries: Readonly<Record<string, RetryBalance>>) {
  return Object.fromEntries(
    Object.entries(retries).map(([service, { used, left }]) => [
      service,
      [Math.round(10 * used), Math.floor(10 * left)] as const,
    ]),
  );
}

function encodeTeamRow({ account, admitted, asked, level }: QuotaRow): EncodedTeamRow {
  const refused = Math.max(0, asked - admitted);
  if (level !== undefined) return [account, admitted, refused, level];
  return refused > 0 ? [account, admitted, refused] : [account, admitted];
}

function encodeTeams({ rows, hosts, hasLevels = false }: QuotaReport) {
  const encoded = Object.entries(rows).map(([team, row]) => [team, encodeTeamRow(row)] as const);
  return {
    t: Object.fromEntries(encoded),
    ...(hosts !== undefined && { h: hosts }),
    ...(hasLevels && { v: 1 as const }),
  };
}

/** Encodes a message as the JSON value that is sent in a datagram. */
export default function encodeDomainMessage(message: DomainMessage): EncodedDomainMessage {
  const { isDigest, suspicions, asksSuspicions, upstreams, retries } = message;
  const { loanRequest, loan, domainSize, teams } = message;
  return {
    ...(suspicions.length > 0 && {
      s: suspicions.map(({ upstream, incarnation, kind }) => [upstream, incarnation, kind]),
    }),
    ...(isDigest && { d: 1 }),
    ...(asksSuspicions && { a: 1 }),
    ...(upstreams.length > 0 && {
      u: upstreams.map(encodeUpstream),
    }),
    ...(Object.keys(retries).length > 0 && { r: encodeRetries(retries) }),
    ...(loanRequest && { q: [loanRequest.id, loanRequest.service, loanRequest.retries] }),
    ...(loan && { l: [loan.id, loan.retries, loan.leftMs] }),
    ...(domainSize !== undefined && { n: domainSize }),
    ...(teams && encodeTeams(teams)),
  };
}
