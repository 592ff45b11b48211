import type { Suspicion, SuspicionKind } from '../../domain/detection/SuspicionTracker.ts';
import type { DomainMessage, UpstreamActivity } from '../../domain/fleet/DomainMessage.ts';
import type { RetryCounts } from '../../domain/requests/RetryWindow.ts';
import type { EncodedDomainMessage, UpstreamRow } from './encodeDomainMessage.ts';

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

function isRetryRow(value: unknown): boolean {
  return Array.isArray(value) && value.length === 2 && value.every(isCount);
}

// Uses no schema library, because one took ten times as long.
function isEncodedMessage(value: unknown): value is EncodedDomainMessage {
  if (!isFields(value)) return false;
  const { s = [], a, d, u = [], r = {} } = value;
  return (
    (d === undefined || d === 1) &&
    Array.isArray(s) &&
    s.every(isSuspicionRow) &&
    (a === undefined || a === 1) &&
    Array.isArray(u) &&
    u.every(isUpstreamRow) &&
    isFields(r) &&
    Object.values(r).every(isRetryRow)
  );
}

/** Decodes the JSON value of a datagram; returns undefined if it is malformed. */
export default function decodeDomainMessage(value: unknown): DomainMessage | undefined {
  if (!isEncodedMessage(value)) return undefined;
  const { s = [], a, d, u = [], r = {} } = value;
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
      Object.entries(r).map(([service, [requests, retries]]): [string, RetryCounts] => [
        service,
        { requests, retries },
      ]),
    ),
  };
}
