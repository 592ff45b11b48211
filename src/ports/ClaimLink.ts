import type { ClaimChange, ClaimDecision } from '../domain/claims/Claim.ts';
import type Result from '../domain/errors/Result.ts';

/** Claim changes that are sent in one message. */
export interface ClaimBatch {
  readonly changes: readonly ClaimChange[];
  /** Time after which the sender no longer waits for the decisions. */
  readonly deadline: number;
  /** Whether a control host that is not the leader may forward the batch to the leader. */
  readonly mayForward: boolean;
}

/** Sends claim changes to one control host. */
export default interface ClaimLink {
  /** Host name of the control host. */
  readonly host: string;
  /**
   * Returns one decision for each change, in the same order. Never rejects. After the failure
   * `not_leader` no change was proposed; after any other failure the batch may still be decided.
   */
  sendBatch(batch: ClaimBatch): Promise<Result<readonly ClaimDecision[]>>;
}
