/** Random numbers and ids. */
export default interface RandomSource {
  /** Returns a number from 0 up to, but not including, 1. */
  next(): number;
  /** Returns a new random UUID, version 4. */
  createId(): string;
  /** Returns a new UUID, version 7, with the given time in milliseconds since the epoch. */
  createKey(now: number): string;
}
