import type { Header } from './RequestDialect.ts';

/** Value of a header; undefined when it is absent or occurs with different values. */
export default function findSingleValue(
  headers: readonly Header[],
  wanted: string,
): string | undefined {
  const values = new Set(headers.filter(([name]) => name === wanted).map(([, value]) => value));
  return values.size === 1 ? [...values][0] : undefined;
}
