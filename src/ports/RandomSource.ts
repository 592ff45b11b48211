/** Random numbers and ids. */
export default interface RandomSource {
  /** Returns a number from 0 up to, but not including, 1. */
  next(): number;
  /** Returns a new random UUID of version 4. */
  createId(): string;
  /** Returns a new UUID of version 7 with the given time. */
  createKey(now: number): string;
}
