import { createHash, timingSafeEqual } from 'node:crypto';

/** Compares two keys in constant time; hashing them first makes their lengths equal. */
export default function compareKeys(given: string, expected: string): boolean {
  const hash = (text: string): Buffer => createHash('sha256').update(text).digest();
  return timingSafeEqual(hash(given), hash(expected));
}
