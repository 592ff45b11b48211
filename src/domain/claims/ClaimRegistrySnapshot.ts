import type { StoredAnswer } from './Claim.ts';

/** What is known about the operation of a claimed key. */
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

/**
 * All claims, or a part of them, as a JSON value. A later part may repeat a key with further
 * released attempts.
 */
export default interface ClaimRegistrySnapshot {
  /**
   * Keys with a timestamp at or before this instant have expired, in milliseconds since the epoch.
   */
  readonly horizon: number;
  readonly keys: readonly {
    readonly key: string;
    readonly current: ClaimRecord | undefined;
    /** Ids of the attempts that were released. */
    readonly released: readonly string[];
  }[];
}
