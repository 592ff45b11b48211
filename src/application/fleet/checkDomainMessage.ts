import type { Suspicion, SuspicionKind } from '../../domain/detection/SuspicionTracker.ts';
import type { RetryCounts } from '../../domain/requests/RetryWindow.ts';

/** Message from an entry host to the others of its failure domain, or from a relay. */
export interface DomainMessage {
  /** Address from which the sender sends datagrams. */
  readonly from: string;
  readonly suspicions: readonly Suspicion[];
  /** Whether the sender has just started and asks which upstreams are suspected. */
  readonly asksHeld: boolean;
  /** Undefined in messages to and from control hosts. */
  readonly work: HostActivity | undefined;
}

/** Requests, retries, loads and recoveries that one entry host reports. */
export interface HostActivity {
  /** Open requests by upstream. */
  readonly inFlight: Readonly<Record<string, number>>;
  /** Requests and retries in the newest window, by service. */
  readonly retries: Readonly<Record<string, RetryCounts>>;
  /** Loads that upstreams reported since the last message. */
  readonly loads: Readonly<Record<string, number>>;
  /** Upstreams that showed evidence of a recovery since the last message. */
  readonly proven: readonly string[];
}

const suspicionKinds: Readonly<Record<SuspicionKind, true>> = {
  broken: true,
  unreachable: true,
  silent: true,
  overdue: true,
  faulty: true,
  misplaced: true,
};

type Fields = Readonly<Record<string, unknown>>;

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null;
}

function isCount(value: unknown): value is number {
  return Number.isInteger(value) && Number(value) >= 0;
}

function isSuspicion(value: unknown): value is Suspicion {
  if (!isFields(value)) return false;
  const { upstream, incarnation, kind } = value;
  return (
    typeof upstream === 'string' &&
    typeof incarnation === 'number' &&
    typeof kind === 'string' &&
    Object.hasOwn(suspicionKinds, kind)
  );
}

function isRetryCounts(value: unknown): value is RetryCounts {
  return isFields(value) && isCount(value.requests) && isCount(value.retries);
}

function isHostActivity(value: unknown): value is HostActivity {
  if (!isFields(value)) return false;
  const { inFlight, retries, loads, proven } = value;
  return (
    isFields(inFlight) &&
    Object.values(inFlight).every(isCount) &&
    isFields(loads) &&
    Object.values(loads).every(isCount) &&
    isFields(retries) &&
    Object.values(retries).every(isRetryCounts) &&
    Array.isArray(proven) &&
    proven.every((upstream) => typeof upstream === 'string')
  );
}

/**
 * Returns the message if it is well-formed. Uses no schema library, because one took ten times as
 * long.
 */
export default function checkDomainMessage(value: unknown): DomainMessage | undefined {
  if (!isFields(value)) return undefined;
  const { from, suspicions, work, asksHeld = false } = value;
  const isValid =
    typeof from === 'string' &&
    Array.isArray(suspicions) &&
    suspicions.every(isSuspicion) &&
    typeof asksHeld === 'boolean' &&
    (work === undefined || isHostActivity(work));
  return isValid ? { from, suspicions, work, asksHeld } : undefined;
}
