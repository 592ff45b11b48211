import type { Suspicion, SuspicionKind } from '../../domain/detection/SuspicionTracker.ts';
import type { RetryCounts } from '../../domain/requests/RetryWindow.ts';

/** What an entry host tells the others of its failure domain, and control hosts pass on. */
export interface DomainMessage {
  /** Address of the sender's datagrams. */
  readonly from: string;
  readonly suspicions: readonly Suspicion[];
  /** Whether the sender starts and asks which upstreams look bad. */
  readonly asksHeld: boolean;
  /** Undefined from a control host. */
  readonly work: HostActivity | undefined;
}

/** What one entry host is doing. */
export interface HostActivity {
  /** Open requests by upstream. */
  readonly inFlight: Readonly<Record<string, number>>;
  /** Requests and retries in the newest window, by service. */
  readonly retries: Readonly<Record<string, RetryCounts>>;
  /** Loads that upstreams reported since the last message. */
  readonly loads: Readonly<Record<string, number>>;
  /** Upstreams that gave good answers, in spite of all suspicions, since the last message. */
  readonly proven: readonly string[];
}

const kinds: Readonly<Record<SuspicionKind, true>> = {
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
    Object.hasOwn(kinds, kind)
  );
}

function isRetryCounts(value: unknown): value is RetryCounts {
  return isFields(value) && isCount(value.requests) && isCount(value.retries);
}

function isWork(value: unknown): value is HostActivity {
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

/** The message when it is well-formed. A schema library took ten times as long. */
export default function checkDomainMessage(value: unknown): DomainMessage | undefined {
  if (!isFields(value)) return undefined;
  const { from, suspicions, work, asksHeld = false } = value;
  const isValid =
    typeof from === 'string' &&
    Array.isArray(suspicions) &&
    suspicions.every(isSuspicion) &&
    typeof asksHeld === 'boolean' &&
    (work === undefined || isWork(work));
  return isValid ? { from, suspicions, work, asksHeld } : undefined;
}
