import type { DomainMessage } from '../../domain/fleet/DomainMessage.ts';
import type { RetryCounts } from '../../domain/requests/RetryWindow.ts';

/** Upstream, incarnation and kind of a suspicion. */
export type SuspicionRow = readonly [string, number, string];

/** Upstream, open requests, reported load or null, and 1 after a recovery. */
export type UpstreamRow = readonly [string, number, (number | null)?, 1?];

/** A message as it is sent: an entry host sends many, so names are short and empty parts absent. */
export interface EncodedDomainMessage {
  readonly s?: readonly SuspicionRow[];
  /** Present if the sender asks for suspicions. */
  readonly a?: 1;
  readonly u?: readonly UpstreamRow[];
  /** Requests and retries by service. */
  readonly r?: Readonly<Record<string, readonly [number, number]>>;
}

function encodeRetries(retries: Readonly<Record<string, RetryCounts>>) {
  return Object.fromEntries(
    Object.entries(retries).map(([service, counts]) => [
      service,
      [counts.requests, counts.retries] as const,
    ]),
  );
}

/** Encodes a message as the JSON value that is sent in a datagram. */
export default function encodeDomainMessage(message: DomainMessage): EncodedDomainMessage {
  const { suspicions, asksSuspicions, upstreams, retries } = message;
  return {
    ...(suspicions.length > 0 && {
      s: suspicions.map(({ upstream, incarnation, kind }) => [upstream, incarnation, kind]),
    }),
    ...(asksSuspicions && { a: 1 }),
    ...(upstreams.length > 0 && {
      u: upstreams.map(({ upstream, inFlight, reportedLoad, hasRecovered }): UpstreamRow => {
        if (hasRecovered) return [upstream, inFlight, reportedLoad ?? null, 1];
        return reportedLoad === undefined
          ? [upstream, inFlight]
          : [upstream, inFlight, reportedLoad];
      }),
    }),
    ...(Object.keys(retries).length > 0 && { r: encodeRetries(retries) }),
  };
}
