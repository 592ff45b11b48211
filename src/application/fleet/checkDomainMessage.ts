import type { Suspicion, SuspicionKind } from '../../domain/detection/SuspicionBook.ts';

/** What an entry host tells the others of its failure domain, and control hosts pass on. */
export interface DomainMessage {
  /** Address of the sender's datagrams. */
  readonly from: string;
  /** Requests that the sender has open, by upstream; undefined from a control host. */
  readonly inFlight: Readonly<Record<string, number>> | undefined;
  readonly suspicions: readonly Suspicion[];
}

const kinds: Readonly<Record<SuspicionKind, true>> = {
  broken: true,
  unreachable: true,
  overdue: true,
  faulty: true,
  misplaced: true,
};

function isSuspicion(value: unknown): value is Suspicion {
  const { upstream, incarnation, kind } = (value ?? {}) as Record<string, unknown>;
  return (
    typeof upstream === 'string' &&
    typeof incarnation === 'number' &&
    typeof kind === 'string' &&
    Object.hasOwn(kinds, kind)
  );
}

function isCounts(value: unknown): value is Record<string, number> {
  if (typeof value !== 'object' || value === null) return false;
  return Object.values(value).every((count) => Number.isInteger(count) && Number(count) >= 0);
}

/**
 * The message when it is well-formed. Written by hand: each host checks dozens a second, and a
 * schema took ten times as long.
 */
export default function checkDomainMessage(value: unknown): DomainMessage | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const { from, inFlight, suspicions } = value as Record<string, unknown>;
  const isValid =
    typeof from === 'string' &&
    (inFlight === undefined || isCounts(inFlight)) &&
    Array.isArray(suspicions) &&
    suspicions.every(isSuspicion);
  return isValid ? { from, inFlight, suspicions } : undefined;
}
