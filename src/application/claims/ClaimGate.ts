import type { StoredAnswer } from '../../domain/claims/Claim.ts';
import type Failure from '../../domain/errors/Failure.ts';

/** Asks for the right to run an operation once. */
export interface ClaimOptions {
  readonly key: string;
  readonly fingerprint: string;
  /** Instant after which the caller no longer waits. */
  readonly deadline: number;
}

/** The right to run one operation, or why there is none. */
export type ClaimOutcome =
  | { readonly kind: 'granted'; readonly ticket: GrantedClaim }
  | { readonly kind: 'replayed'; readonly answer: StoredAnswer }
  | { readonly kind: 'refused'; readonly failure: Failure };

/** A granted claim; exactly one of its methods is called, once, when the attempt ended. */
export interface GrantedClaim {
  completeRan(answer: StoredAnswer): void;
  completeUnknown(): void;
  /** Frees the key; only when no byte of the operation can have left. */
  completeNotRun(): void;
}

/** Claims idempotency keys at the control group before an operation is dispatched. */
export default interface ClaimGate {
  /** Never rejects; a claim that got no majority by the deadline is refused as not run. */
  requestClaim(options: ClaimOptions): Promise<ClaimOutcome>;
  /** Resolves when all completions were recorded, or at the deadline. */
  waitIdle(deadline: number): Promise<void>;
}
