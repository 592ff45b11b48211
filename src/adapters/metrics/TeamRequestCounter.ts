import { Counter } from 'prom-client';
import type { Registry } from 'prom-client';

import type TeamObserver from '../../application/requests/TeamObserver.ts';
import type { TeamResult } from '../../application/requests/TeamObserver.ts';

// Series for each of 28,000 teams and ten results took 181 MiB.
const maxNamedTeams = 100;
const otherTeams = '(other)';

/** Counts requests by team and result, with series of their own for the first teams only. */
export default class TeamRequestCounter implements TeamObserver {
  private readonly requests: Counter<'team' | 'result'>;

  private readonly named = new Set<string>();

  constructor(registry: Registry) {
    this.requests = new Counter({
      name: 'pistachiohoist_team_requests_total',
      help: `Requests by team and result; those of all teams after the first ${maxNamedTeams} are counted as "${otherTeams}".`,
      labelNames: ['team', 'result'],
      registers: [registry],
    });
  }

  recordResult({ team, refusal }: TeamResult): void {
    this.requests.inc({ team: this.getLabel(team), result: refusal ?? 'admitted' });
  }

  private getLabel(team: string | undefined): string {
    if (team === undefined) return '';
    if (this.named.has(team)) return team;
    if (this.named.size >= maxNamedTeams) return otherTeams;
    this.named.add(team);
    return team;
  }
}
