import type { StoredAnswer } from '../../domain/claims/Claim.ts';
import type Failure from '../../domain/errors/Failure.ts';

/** A request for the right to run an operation once. */
export interface ClaimOptions {
  readonly key: string;
  readonly fingerprint: string;
  /** Instant after which the caller no longer waits. */
  readonly deadline: number;
}

/**
 * The result of a claim: the right to run the operation, the stored answer of an earlier request,
 * or a refusal.
 */
export type ClaimOutcome =
  | { readonly kind: 'granted'; readonly grantedClaim: GrantedClaim }
  | { readonly kind: 'replayed'; readonly answer: StoredAnswer }
  | { readonly kind: 'refused'; readonly failure: Failure };

/** A granted claim. Call exactly one of its methods, once, when the attempt is finished. */
export interface GrantedClaim {
  completeRan(answer: StoredAnswer): void;
  completeUnknown(): void;
  /**
   * Releases the key; allowed only when no byte of the request can have been sent to an upstream.
   */
  completeNotRun(): void;
}

/** Claims idempotency keys at the control group before an operation is dispatched. */
export default interface ClaimGate {
  /**
   * Never rejects. A claim that no majority committed by the deadline is refused, and its request
   * is not run.
   */
  requestClaim(options: ClaimOptions): Promise<ClaimOutcome>;
  /** Resolves when all completions are recorded, or at the deadline. */
  waitIdle(deadline: number): Promise<void>;
}
