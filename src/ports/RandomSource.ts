/** Random numbers and ids. */
export default interface RandomSource {
  /** A number from 0 up to, but not including, 1. */
  next(): number;
  /** A fresh random UUID version 4. */
  createId(): string;
  /** A fresh UUID version 7 for the instant. */
  createKey(now: number): string;
}
