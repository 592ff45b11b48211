import type Result from '../domain/errors/Result.ts';
import type TeamCounts from '../domain/teams/TeamCounts.ts';

/** Requests of one team on an entry host. */
export interface HostTeamCounts extends TeamCounts {
  /** Undefined for requests without a team. */
  readonly team: string | undefined;
}

/** Requests the counts of an entry host by team. */
export default interface TeamCountsLink {
  requestTeamCounts(deadline: number): Promise<Result<readonly HostTeamCounts[]>>;
  close(): void;
}
