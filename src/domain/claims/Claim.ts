import type Failure from '../errors/Failure.ts';

/** An upstream's answer, stored so that a repeated request gets the same one. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  /** Base64 of the body. */
  readonly body: string;
}

/** Requests the right to run the operation of an idempotency key once. */
export interface ClaimRequest {
  readonly kind: 'claim';
  /** A UUID version 7, in lower case. */
  readonly key: string;
  /** SHA-256 of method, path and body, in hexadecimal. */
  readonly fingerprint: string;
  /** Entry host and its incarnation, for example `entry-1/1733310000000`. */
  readonly holder: string;
  /** Random id of this attempt; a resent claim repeats it. */
  readonly attempt: string;
}

/** Reports how an attempt ended; only the holder of the key sends it. */
export interface ClaimCompletion {
  readonly kind: 'complete';
  readonly key: string;
  readonly attempt: string;
  readonly result: 'ran' | 'unknown' | 'not_run';
  /** Set for `ran` when the answer is small enough to be kept. */
  readonly answer: StoredAnswer | undefined;
}

/** A change to the claim registry. */
export type ClaimChange = ClaimRequest | ClaimCompletion;

/**
 * The decision on one claim change: `recorded` confirms a completion, and `replayed` returns the
 * answer of an operation that already ran.
 */
export type ClaimDecision =
  | { readonly kind: 'granted' }
  | { readonly kind: 'recorded' }
  | { readonly kind: 'replayed'; readonly answer: StoredAnswer }
  | { readonly kind: 'refused'; readonly failure: Failure };
