import type { ClaimChange, ClaimDecision } from '../domain/claims/Claim.ts';
import type Result from '../domain/errors/Result.ts';

/** Claim changes that travel together. */
export interface ClaimBatch {
  readonly changes: readonly ClaimChange[];
  /** Instant after which the sender no longer waits. */
  readonly deadline: number;
  /** Whether a control host that does not lead may pass the batch on to the leader. */
  readonly mayForward: boolean;
}

/** Sends claim changes to one control host. */
export default interface ClaimLink {
  /** Host name of the control host. */
  readonly host: string;
  /**
   * The decisions, one for each change in order. Never rejects; after `not_leader` nothing was
   * taken, after any other failure the batch may still be decided.
   */
  sendBatch(batch: ClaimBatch): Promise<Result<readonly ClaimDecision[]>>;
}
