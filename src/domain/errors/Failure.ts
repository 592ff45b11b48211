import type ErrorKind from './ErrorKind.ts';

/** The change that was accepted instead of the refused one. */
export interface WinningChange {
  readonly revision: number;
  readonly operator: string;
  readonly changeId: string;
}

interface RevisionConflict {
  readonly kind: 'revision_conflict';
  readonly message: string;
  readonly winner: WinningChange;
}

interface NotLeader {
  readonly kind: 'not_leader';
  readonly message: string;
  /** Host name of the leader; undefined when this replica has not found one. */
  readonly leader: string | undefined;
}

interface PlainFailure {
  readonly kind: Exclude<ErrorKind, 'revision_conflict' | 'not_leader'>;
  readonly message: string;
  /** Instant from which another request can succeed; undefined if it is not known. */
  readonly retryAt?: number;
}

/**
 * An expected error, tagged by its kind. The message names the call, the value and what was
 * expected.
 */
type Failure = RevisionConflict | NotLeader | PlainFailure;

export type { Failure as default };
