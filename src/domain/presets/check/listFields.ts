import type { KeyPath } from './Finding.ts';

/** A value of a preset that contains no others, with its path. */
export interface FlatField {
  readonly path: KeyPath;
  readonly value: unknown;
}

/** Lists the values inside `value`; fields that are undefined are left out. */
export default function listFields(value: unknown, path: KeyPath = []): readonly FlatField[] {
  if (value === undefined) return [];
  if (typeof value !== 'object' || value === null) return [{ path, value }];
  if (Array.isArray(value)) {
    return value.flatMap((item: unknown, index) => listFields(item, [...path, index]));
  }
  return Object.entries(value).flatMap(([key, item]) => listFields(item, [...path, key]));
}
