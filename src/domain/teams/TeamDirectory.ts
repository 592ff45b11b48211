import type { TeamSettings } from '../presets/Preset.ts';

/** Finds the team that holds a key. */
export default class TeamDirectory {
  private readonly teams: ReadonlyMap<string, TeamSettings>;

  constructor(teams: readonly TeamSettings[]) {
    this.teams = new Map(teams.flatMap((team) => team.keys.map((key) => [key, team] as const)));
  }

  /** Returns undefined if no team holds the key. */
  findTeam(key: string): TeamSettings | undefined {
    return this.teams.get(key);
  }
}
