import type Preset from '../../domain/presets/Preset.ts';
import type { TeamSettings } from '../../domain/presets/Preset.ts';
import type TeamCounts from '../../domain/teams/TeamCounts.ts';
import { addCounts, noCounts } from '../../domain/teams/TeamCounts.ts';
import type Clock from '../../ports/Clock.ts';
import type TeamCountsLink from '../../ports/TeamCountsLink.ts';
import type { HostTeamCounts } from '../../ports/TeamCountsLink.ts';
import type TeamListing from '../operators/TeamListing.ts';
import type { TeamReport, TeamStatus } from '../operators/TeamListing.ts';

const requestTimeoutMs = 2000;

/** Options of the reporter. */
export interface TeamReporterOptions {
  readonly clock: Clock;
  /** The entry hosts to ask. */
  readonly listEntryHosts: () => readonly string[];
  readonly openLink: (host: string) => TeamCountsLink | undefined;
  readonly readPreset: () => Preset | undefined;
}

type CountsByTeam = Map<string | undefined, TeamCounts>;

function addHostCounts(sums: CountsByTeam, counts: readonly HostTeamCounts[]): void {
  counts.forEach(({ team, admitted, refused }) => {
    sums.set(team, addCounts(sums.get(team) ?? noCounts, { admitted, refused }));
  });
}

function createStatus(team: TeamSettings, sums: CountsByTeam): TeamStatus {
  return {
    name: team.name,
    priority: team.priority,
    requestsPerSecond: team.requestsPerSecond,
    burst: team.burst,
    keys: new Set(team.keys).size,
    ...(sums.get(team.name) ?? noCounts),
  };
}

/** Asks every entry host for its requests by team and adds them up. */
export default class TeamReporter implements TeamListing {
  private readonly options: TeamReporterOptions;

  constructor(options: TeamReporterOptions) {
    this.options = options;
  }

  /** Hosts that do not answer within 2 s are listed in `missingHosts`. */
  async listTeams(): Promise<TeamReport> {
    const { clock, listEntryHosts, readPreset } = this.options;
    const hosts = listEntryHosts();
    const deadline = clock.now() + requestTimeoutMs;
    const sums: CountsByTeam = new Map();
    const answers = await Promise.all(
      hosts.map((host) => this.requestCounts(host, deadline, sums)),
    );
    const teams = readPreset()?.teams;
    return {
      needsKeys: teams !== undefined,
      teams: teams?.map((team) => createStatus(team, sums)) ?? [],
      withoutTeam: sums.get(undefined) ?? noCounts,
      hosts: hosts.filter((_, index) => answers[index]),
      missingHosts: hosts.filter((_, index) => !answers[index]),
    };
  }

  // Adds up each answer as it arrives, because the answers of all hosts of a fleet with many teams
  // would take much memory.
  private async requestCounts(
    host: string,
    deadline: number,
    sums: CountsByTeam,
  ): Promise<boolean> {
    const link = this.options.openLink(host);
    const answer = await link?.requestTeamCounts(deadline);
    link?.close();
    if (answer?.ok) addHostCounts(sums, answer.value);
    return answer?.ok ?? false;
  }
}
