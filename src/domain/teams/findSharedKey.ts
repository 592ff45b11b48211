import type { TeamSettings } from '../presets/Preset.ts';

/** Two teams of a preset that hold the same key, by their positions in its list of teams. */
export interface SharedKey {
  readonly first: number;
  readonly second: number;
}

/** Finds a key that two teams hold; undefined if there is none. A team may list a key twice. */
export default function findSharedKey(teams: readonly TeamSettings[]): SharedKey | undefined {
  const holders = new Map<string, number>();
  return teams
    .flatMap(({ keys }, second) => keys.map((key) => ({ key, second })))
    .map(({ key, second }) => {
      const first = holders.get(key) ?? second;
      holders.set(key, first);
      return { first, second };
    })
    .find(({ first, second }) => first !== second);
}
