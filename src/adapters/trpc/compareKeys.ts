import { createHash, timingSafeEqual } from 'node:crypto';

/** Compares in constant time; hashing first makes the lengths equal. */
export default function compareKeys(given: string, expected: string): boolean {
  const hash = (text: string): Buffer => createHash('sha256').update(text).digest();
  return timingSafeEqual(hash(given), hash(expected));
}
