import type TeamCounts from '../../domain/teams/TeamCounts.ts';

/** One team of the active preset as operators see it, without its keys. */
export interface TeamStatus extends TeamCounts {
  readonly name: string;
  /** Undefined when the priority of the route counts. */
  readonly priority: number | undefined;
  /** Undefined when there is no limit. */
  readonly requestsPerSecond: number | undefined;
  readonly burst: number;
  /** Number of keys. */
  readonly keys: number;
}

/** The teams of the active preset and their requests on all entry hosts since each started. */
export interface TeamReport {
  /** Whether the active preset has teams, so that requests need a key. */
  readonly needsKeys: boolean;
  /** In the order of the preset; teams of one name have the same counts. */
  readonly teams: readonly TeamStatus[];
  /** Requests without a team. */
  readonly withoutTeam: TeamCounts;
  /** Hosts whose requests are counted. */
  readonly hosts: readonly string[];
  /** Hosts that did not answer. */
  readonly missingHosts: readonly string[];
}

/** Lists the teams of the active preset. */
export default interface TeamListing {
  listTeams(): Promise<TeamReport>;
}
