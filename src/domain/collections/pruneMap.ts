/** Removes the entries of a map that are obsolete. */
export default function pruneMap<Key, Value>(
  map: Map<Key, Value>,
  isObsolete: (value: Value, key: Key) => boolean,
): void {
  map.forEach((value, key) => {
    if (isObsolete(value, key)) map.delete(key);
  });
}
