import type { StoredAnswer } from './Claim.ts';

/** What is known of the operation of a claimed key. */
export type ClaimStateName = 'claimed' | 'ran' | 'unknown';

/** The attempt that holds or held a key. */
export interface ClaimRecord {
  readonly fingerprint: string;
  readonly holder: string;
  readonly attempt: string;
  readonly state: ClaimStateName;
  /** Set for `ran` when the answer was kept. */
  readonly answer: StoredAnswer | undefined;
}

/** Claims as a JSON value: all of them, or a part. A key may occur again with more attempts. */
export default interface ClaimRegistrySnapshot {
  /** Keys made at or before this instant have expired, in milliseconds since the epoch. */
  readonly horizon: number;
  readonly keys: readonly {
    readonly key: string;
    readonly current: ClaimRecord | undefined;
    /** Ids of the attempts that were released. */
    readonly released: readonly string[];
  }[];
}
