import type { RetryAmount, RetryBalance } from '../../domain/requests/RetryAccount.ts';

/** The retries that this host may use, which it lends to and borrows from other hosts. */
export default interface RetryLedger {
  /** Retries of this host that are used and left, by service. */
  readBalances(): Readonly<Record<string, RetryBalance>>;
  /** Part of a retry that has to be borrowed before one can be taken; 0 if none. */
  computeMissing(service: string): number;
  /** Adds retries that another host lent. */
  addCredit(service: string, credit: RetryAmount): void;
  /** Takes up to `retries` for another host, which may use them until the instant returned. */
  lendRetries(service: string, retries: number): RetryAmount;
}
