import type { Suspicion, SuspicionKind } from '../../domain/detection/SuspicionTracker.ts';
import type { DomainMessage, UpstreamActivity } from '../../domain/fleet/DomainMessage.ts';
import type { RetryBalance } from '../../domain/requests/RetryAccount.ts';
import { accountLimit } from '../../domain/teams/QuotaCounts.ts';
import type { QuotaReport, QuotaRow } from '../../domain/teams/QuotaCounts.ts';
import type { EncodedDomainMessage, EncodedTeamRow, UpstreamRow } from './encodeDomainMessage.ts';

const suspicionKinds: Readonly<Record<SuspicionKind, true>> = {
  broken: true,
  unreachable: true,
  silent: true,
  overdue: true,
  hanging: true,
  faulty: true,
  misplaced: true,
};

type Fields = Readonly<Record<string, unknown>>;

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

function isSuspicionRow(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  const [upstream, incarnation, kind] = value as unknown[];
  return (
    typeof upstream === 'string' &&
    typeof incarnation === 'number' &&
    typeof kind === 'string' &&
    Object.hasOwn(suspicionKinds, kind)
  );
}

function isMissing(value: unknown): boolean {
  return value === undefined || value === null;
}

function isRate(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isUpstreamRow(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  const [upstream, inFlight, load, recovery, requests, incarnation, rate, leaving] =
    value as unknown[];
  return (
    typeof upstream === 'string' &&
    isCount(inFlight) &&
    (isMissing(load) || isCount(load)) &&
    (isMissing(recovery) || recovery === 1) &&
    (isMissing(requests) || isCount(requests)) &&
    (isMissing(incarnation) || isCount(incarnation)) &&
    (isMissing(rate) || (isRate(rate) && !isMissing(incarnation))) &&
    (isMissing(leaving) || isCount(leaving))
  );
}

function decodeUpstream([upstream, ...values]: UpstreamRow): UpstreamActivity {
  const [inFlight, load, recovery, requests, incarnation, rate, leaving] = values;
  return {
    upstream,
    inFlight: inFlight ?? 0,
    reportedLoad: load ?? undefined,
    hasRecovered: recovery === 1,
    limitedRequests: requests ?? 0,
    limit: isMissing(incarnation)
      ? undefined
      : { incarnation: Number(incarnation), requestsPerSecond: rate ?? undefined },
    leavingIncarnation: leaving ?? undefined,
  };
}

function isLoanRequest(value: unknown): boolean {
  if (!Array.isArray(value) || value.length !== 3) return false;
  const [id, service, retries] = value as unknown[];
  return isCount(id) && typeof service === 'string' && isRate(retries);
}

function isLoan(value: unknown): boolean {
  if (!Array.isArray(value) || value.length !== 3) return false;
  const [id, retries, leftMs] = value as unknown[];
  return isCount(id) && isRate(retries) && isCount(leftMs);
}

function isRetryRow(value: unknown): boolean {
  return Array.isArray(value) && value.length === 2 && value.every(isCount);
}

function isTeamRow(value: unknown): boolean {
  if (!Array.isArray(value) || value.length < 2 || value.length > 4) return false;
  return value.every(isCount) && Number(value[0]) < accountLimit;
}

function decodeTeamRow([account = 0, admitted = 0, refused = 0, level]: EncodedTeamRow): QuotaRow {
  return { account, admitted, asked: admitted + refused, level };
}

function decodeTeams({ t, h, v }: EncodedDomainMessage): QuotaReport | undefined {
  if (!t) return undefined;
  const rows = Object.entries(t).map(([team, row]) => [team, decodeTeamRow(row)] as const);
  return { rows: Object.fromEntries(rows), hosts: h, hasLevels: v === 1 };
}

// Uses no schema library, because one took ten times as long.
function isEncodedMessage(value: unknown): value is EncodedDomainMessage {
  if (!isFields(value)) return false;
  const { s = [], a, d, u = [], r = {}, q, l, n, t = {}, h, v } = value;
  return (
    (d === undefined || d === 1) &&
    Array.isArray(s) &&
    s.every(isSuspicionRow) &&
    (a === undefined || a === 1) &&
    Array.isArray(u) &&
    u.every(isUpstreamRow) &&
    isFields(r) &&
    Object.values(r).every(isRetryRow) &&
    (q === undefined || isLoanRequest(q)) &&
    (l === undefined || isLoan(l)) &&
    (n === undefined || isCount(n)) &&
    isFields(t) &&
    Object.values(t).every(isTeamRow) &&
    (h === undefined || isCount(h)) &&
    (v === undefined || v === 1)
  );
}

/** Decodes the JSON value of a datagram; returns undefined if it is malformed. */
export default function decodeDomainMessage(value: unknown): DomainMessage | undefined {
  if (!isEncodedMessage(value)) return undefined;
  const { s = [], a, d, u = [], r = {}, q, l, n } = value;
  return {
    isDigest: d === 1,
    suspicions: s.map(([upstream, incarnation, kind]): Suspicion => ({
      upstream,
      incarnation,
      kind: kind as SuspicionKind,
    })),
    asksSuspicions: a === 1,
    upstreams: u.map(decodeUpstream),
    retries: Object.fromEntries(
      Object.entries(r).map(([service, [used, left]]): [string, RetryBalance] => [
        service,
        { used: used / 10, left: left / 10 },
      ]),
    ),
    loanRequest: q && { id: q[0], service: q[1], retries: q[2] },
    loan: l && { id: l[0], retries: l[1], leftMs: l[2] },
    domainSize: n,
    teams: decodeTeams(value),
  };
}
