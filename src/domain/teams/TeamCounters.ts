import type ErrorKind from '../errors/ErrorKind.ts';
import { maxTeams } from '../presets/teamLimits.ts';
import type TeamCounts from './TeamCounts.ts';
import { addCounts, noCounts } from './TeamCounts.ts';

/** Counts the requests of each team on this host since the process started. */
export default class TeamCounters {
  /** The team that was counted first is first. */
  private readonly counts = new Map<string | undefined, TeamCounts>();

  /** A team of undefined stands for requests without a team. */
  recordResult({
    team,
    refusal,
  }: {
    readonly team: string | undefined;
    readonly refusal: ErrorKind | undefined;
  }): void {
    const added: TeamCounts =
      refusal === undefined
        ? { admitted: 1, refused: {} }
        : { admitted: 0, refused: { [refusal]: 1 } };
    this.counts.set(team, addCounts(this.counts.get(team) ?? noCounts, added));
    // Teams that were renamed or removed would otherwise add up over the life of the process.
    if (this.counts.size > maxTeams) this.counts.delete(this.counts.keys().next().value);
  }

  /** Lists the counts of the teams that had requests. */
  listCounts(): readonly (TeamCounts & { readonly team: string | undefined })[] {
    return [...this.counts].map(([team, counts]) => ({ team, ...counts }));
  }
}
