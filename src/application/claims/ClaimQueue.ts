import type {
  ClaimChange,
  ClaimCompletion,
  ClaimDecision,
  ClaimRequest,
} from '../../domain/claims/Claim.ts';

/** A claim whose caller waits for the decision. */
export interface PendingClaim {
  readonly kind: 'claim';
  readonly change: ClaimRequest;
  readonly deadline: number;
  /** Aborted when the decision is set. */
  readonly decided: AbortController;
  decision: ClaimDecision | undefined;
  /**
   * Number of times the claim was sent. An earlier copy may still arrive after the control group
   * answered a later one.
   */
  sends: number;
}

/** The completion of an attempt, kept until the control group acknowledges it. */
export interface PendingCompletion {
  readonly kind: 'completion';
  readonly change: ClaimCompletion;
  /** Instant at which the key has expired on every control host. */
  readonly expiresAt: number;
  /** Earliest instant at which the completion may be sent. */
  notBefore: number;
}

/** A change that waits for its decision. */
export type PendingChange = PendingClaim | PendingCompletion;

/** Pending changes in the order in which they arrived; at most one for each attempt. */
export default class ClaimQueue {
  private readonly items = new Map<string, PendingChange>();

  get size(): number {
    return this.items.size;
  }

  /** Adds a change, which replaces a claim of the same attempt. */
  addItem(item: PendingChange): void {
    this.items.delete(item.change.attempt);
    this.items.set(item.change.attempt, item);
  }

  /** Removes the item; returns false if it was already replaced or removed. */
  removeItem(item: PendingChange): boolean {
    if (this.items.get(item.change.attempt) !== item) return false;
    return this.items.delete(item.change.attempt);
  }

  /** Lists up to `limit` changes that may be sent now, oldest first; they stay in the queue. */
  listReady(now: number, limit: number): readonly PendingChange[] {
    return [...this.items.values()]
      .filter((item) => (item.kind === 'claim' ? now < item.deadline : item.notBefore <= now))
      .slice(0, limit);
  }

  /** Removes and returns the completions whose keys have expired. */
  takeExpired(now: number): readonly ClaimChange[] {
    const expired = [...this.items.values()].filter(
      (item) => item.kind === 'completion' && item.expiresAt <= now,
    );
    expired.forEach((item) => this.items.delete(item.change.attempt));
    return expired.map(({ change }) => change);
  }

  /**
   * The earliest instant at which a delayed completion may be sent; `Infinity` when there is none.
   */
  findNextTime(): number {
    return [...this.items.values()].reduce(
      (earliest, item) =>
        item.kind === 'completion' ? Math.min(earliest, item.notBefore) : earliest,
      Number.POSITIVE_INFINITY,
    );
  }
}
