/**
 * Draws up to `size` different items. `random` returns numbers from 0 up to, but not including, 1.
 */
export default function drawSample<Item>(
  items: readonly Item[],
  size: number,
  random: () => number,
): readonly Item[] {
  const rest = [...items];
  return Array.from({ length: Math.min(size, rest.length) }, () =>
    rest.splice(Math.floor(random() * rest.length), 1),
  ).flat();
}
