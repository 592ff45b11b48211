import type { TeamSettings } from '../../domain/presets/Preset.ts';
import computeCreditLimits from '../../domain/teams/computeCreditLimits.ts';
import type {
  CreditLimits,
  QuotaSettings,
  TeamLimit,
} from '../../domain/teams/computeCreditLimits.ts';

/** Options of the limits. */
export interface TeamLimitsOptions {
  readonly settings: QuotaSettings;
  /** Teams of the active preset; undefined if it has none. */
  readonly readTeams: () => readonly TeamSettings[] | undefined;
}

/** The limit of a team and the token bucket that keeps it. */
export interface AppliedLimit extends TeamLimit {
  readonly credit: CreditLimits;
}

/** Finds the limits of the teams of the active preset. */
export default class TeamLimits {
  private readonly options: TeamLimitsOptions;

  private teams: readonly TeamSettings[] | undefined;

  private limits: ReadonlyMap<string, TeamLimit> = new Map();

  private changes = 0;

  /** Limits that were asked for; most teams send no requests. */
  private readonly applied = new Map<string, AppliedLimit>();

  constructor(options: TeamLimitsOptions) {
    this.options = options;
  }

  get hasLimits(): boolean {
    this.applyPreset();
    return this.limits.size > 0;
  }

  /** Uses the teams of the active preset and returns the number of its changes so far. */
  applyPreset(): number {
    const teams = this.options.readTeams();
    if (teams === this.teams) return this.changes;
    this.teams = teams;
    this.limits = this.createLimits(teams ?? []);
    this.applied.clear();
    this.changes += 1;
    return this.changes;
  }

  /** Returns undefined if the team has no limit. */
  findLimit(team: string): AppliedLimit | undefined {
    const limit = this.limits.get(team);
    if (!limit) return undefined;
    const applied = this.applied.get(team) ?? {
      ...limit,
      credit: computeCreditLimits(limit, this.options.settings),
    };
    this.applied.set(team, applied);
    return applied;
  }

  /** Teams of the same name share a quota: the smallest of their limits. */
  private createLimits(teams: readonly TeamSettings[]): ReadonlyMap<string, TeamLimit> {
    const limits = new Map<string, TeamLimit>();
    teams.forEach(({ name, requestsPerSecond, burst }) => {
      if (requestsPerSecond === undefined) return;
      const known = limits.get(name);
      limits.set(name, {
        requestsPerSecond: Math.min(requestsPerSecond, known?.requestsPerSecond ?? Infinity),
        burst: Math.min(burst, known?.burst ?? Infinity),
      });
    });
    return limits;
  }
}
