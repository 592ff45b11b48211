import type ErrorKind from '../errors/ErrorKind.ts';
import type { CommitPosition, SnapshotParts } from '../replication/StateMachine.ts';
import type { ClaimChange, ClaimCompletion, ClaimDecision, ClaimRequest } from './Claim.ts';
import type ClaimRegistrySnapshot from './ClaimRegistrySnapshot.ts';
import type { ClaimRecord } from './ClaimRegistrySnapshot.ts';
import ClaimTable from './ClaimTable.ts';
import type { KeyEntry } from './ClaimTable.ts';
import IdempotencyKey from './IdempotencyKey.ts';
import { isStorable } from './measureAnswer.ts';

/** How long a key is kept after its embedded timestamp, in milliseconds. */
export const claimRetentionMs = 24 * 60 * 60 * 1000;

/** How far the embedded timestamp of a key may be ahead of the leader's clock, in milliseconds. */
export const maxKeyLeadMs = 5 * 60 * 1000;

const maxClaimRecords = 200_000;
// The control plane may use 128 MB of memory on a host, and that has to be enough for the registry
// and a snapshot together.
const maxKeptAnswerCharacters = 32 * 1024 * 1024;

/** Limits of a claim registry; all replicas of a group must use the same values. */
export interface ClaimRegistryOptions {
  /** Maximum number of claimed keys and released attempts together. */
  readonly maxRecords?: number;
  /**
   * Maximum size of all kept answers together, in characters; above it an operation is recorded
   * without its answer.
   */
  readonly maxKeptAnswerCharacters?: number;
}

type RefusalKind = Exclude<ErrorKind, 'revision_conflict' | 'not_leader'>;

const recorded: ClaimDecision = { kind: 'recorded' };

function refuse(kind: RefusalKind, change: ClaimChange, detail: string): ClaimDecision {
  const message = `${change.kind} key ${change.key}, attempt ${change.attempt}: ${detail}`;
  return { kind: 'refused', failure: { kind, message } };
}

/**
 * Tracks which attempt holds each idempotency key and what is known about its operation. The
 * registry is deterministic: the same changes at the same positions in the log give the same state.
 * A key is never taken from its holder.
 */
export default class ClaimRegistry {
  private readonly limits: Required<ClaimRegistryOptions>;

  private table = new ClaimTable();

  private horizon = 0;

  constructor(options: ClaimRegistryOptions = {}) {
    this.limits = { maxRecords: maxClaimRecords, maxKeptAnswerCharacters, ...options };
  }

  /** Number of claimed keys and released attempts that are kept. */
  get recordCount(): number {
    return this.table.recordCount;
  }

  /** Decides the changes in order. */
  applyChanges(
    changes: readonly ClaimChange[],
    position: CommitPosition,
  ): readonly ClaimDecision[] {
    // An expired key must not become valid again, even if the proposal time decreases when the
    // leader changes.
    this.refuseThrough(position.proposedAt - claimRetentionMs);
    return changes.map((change) => this.applyChange(change, position.proposedAt));
  }

  /**
   * Drops all keys with a timestamp at or before the instant and refuses them from this call
   * onwards, as if they had expired.
   */
  refuseThrough(instant: number): void {
    this.horizon = Math.max(this.horizon, instant);
    this.table.dropThrough(this.horizon);
  }

  /** Takes a snapshot of the registry; each part contains the horizon. */
  takeSnapshot(): SnapshotParts<ClaimRegistrySnapshot> {
    const { horizon } = this;
    const { count, readPart } = this.table.takeSnapshot();
    return { count, readPart: (position) => ({ horizon, keys: readPart(position) }) };
  }

  /** Adds a part of a snapshot; must not be called after a command was applied. */
  addPart(part: ClaimRegistrySnapshot): void {
    this.horizon = part.horizon;
    this.table.addKeys(part.keys);
  }

  /** Takes over the records of another registry, which must not be used afterwards. */
  restoreFrom(other: ClaimRegistry): void {
    this.horizon = other.horizon;
    this.table = other.table;
  }

  private applyChange(change: ClaimChange, now: number): ClaimDecision {
    const parsed = IdempotencyKey.parse(change.key);
    if (!parsed.ok) return { kind: 'refused', failure: parsed.failure };
    const key = parsed.value;
    if (key.timestamp <= this.horizon) {
      return refuse(
        'key_expired',
        change,
        'the key is older than 24 hours or than this control group; expected a newer key',
      );
    }
    const entry = this.table.findEntry(key);
    // A leader whose clock is behind must still accept the completion of a claim that another
    // leader granted.
    if (!entry && key.timestamp > now + maxKeyLeadMs) {
      const ahead = Math.round(key.timestamp - now);
      return refuse(
        'key_invalid',
        change,
        `the key's timestamp is ${ahead} ms ahead of the leader's clock; expected at most ${maxKeyLeadMs} ms`,
      );
    }
    return change.kind === 'claim'
      ? this.grantClaim(change, key, entry)
      : this.completeClaim(change, key, entry);
  }

  private grantClaim(
    claim: ClaimRequest,
    key: IdempotencyKey,
    entry: KeyEntry | undefined,
  ): ClaimDecision {
    if (entry?.released.has(claim.attempt)) {
      return refuse(
        'claims_unavailable',
        claim,
        'the attempt was already released; expected a new attempt',
      );
    }
    if (entry?.current) return this.decideHeldKey(claim, entry.current);
    if (this.table.recordCount >= this.limits.maxRecords) return this.refuseFull(claim);
    const { fingerprint, holder, attempt } = claim;
    this.table.setCurrent(key, {
      fingerprint,
      holder,
      attempt,
      state: 'claimed',
      answer: undefined,
    });
    return { kind: 'granted' };
  }

  private decideHeldKey(claim: ClaimRequest, held: ClaimRecord): ClaimDecision {
    if (held.fingerprint !== claim.fingerprint) {
      return refuse(
        'key_mismatch',
        claim,
        'the key was used for another method, path or body; expected a new key',
      );
    }
    switch (held.state) {
      case 'claimed':
        return held.attempt === claim.attempt
          ? { kind: 'granted' }
          : refuse(
              'operation_in_progress',
              claim,
              `another attempt, on ${held.holder}, holds the key and has not completed`,
            );
      case 'unknown':
        return refuse(
          'operation_outcome_unknown',
          claim,
          'the operation was dispatched and its outcome is not known',
        );
      case 'ran':
        return held.answer
          ? { kind: 'replayed', answer: held.answer }
          : refuse('answer_not_kept', claim, 'the operation ran; its answer was not kept');
      default:
        return held.state;
    }
  }

  private completeClaim(
    completion: ClaimCompletion,
    key: IdempotencyKey,
    entry: KeyEntry | undefined,
  ): ClaimDecision {
    const isReleased = entry?.released.has(completion.attempt) ?? false;
    const held = entry?.current?.attempt === completion.attempt ? entry.current : undefined;
    if (completion.result === 'not_run') {
      if (isReleased) return recorded;
      return this.releaseAttempt(completion, key, held);
    }
    if (!held) return refuse('message_invalid', completion, 'the attempt does not hold the key');
    // A resent completion must not change what was recorded first.
    if (held.state === 'claimed') {
      this.table.setCurrent(key, {
        ...held,
        state: completion.result,
        answer: this.chooseAnswer(completion),
      });
    }
    return recorded;
  }

  private releaseAttempt(
    completion: ClaimCompletion,
    key: IdempotencyKey,
    held: ClaimRecord | undefined,
  ): ClaimDecision {
    if (held && held.state !== 'claimed') {
      return refuse(
        'message_invalid',
        completion,
        `the operation is already recorded as ${held.state}; expected a claim without an outcome`,
      );
    }
    if (!held && this.table.recordCount >= this.limits.maxRecords) {
      return this.refuseFull(completion);
    }
    if (held) this.table.setCurrent(key, undefined);
    // The released attempt is kept so that a delayed copy of its claim cannot take the key again.
    this.table.addReleased(key, completion.attempt);
    return recorded;
  }

  private chooseAnswer({ result, answer }: ClaimCompletion): ClaimRecord['answer'] {
    if (result !== 'ran' || !answer || !isStorable(answer)) return undefined;
    return this.table.mayKeep(answer, this.limits.maxKeptAnswerCharacters) ? answer : undefined;
  }

  private refuseFull(change: ClaimChange): ClaimDecision {
    const { maxRecords } = this.limits;
    return refuse(
      'claims_full',
      change,
      `the claim registry has ${maxRecords} records, which is the limit`,
    );
  }
}
