import type RequestGate from '../application/requests/RequestGate.ts';
import QuotaGate from '../application/requests/QuotaGate.ts';
import type ActivePreset from '../application/requests/ActivePreset.ts';
import TeamQuotas from '../application/teams/TeamQuotas.ts';
import type { TeamQuotasOptions } from '../application/teams/TeamQuotas.ts';
import { defaultQuotas } from '../domain/teams/computeCreditLimits.ts';

type SharedOptions = Pick<TeamQuotasOptions, 'clock' | 'log' | 'random'> & {
  readonly activePreset: ActivePreset;
};

/** Creates the quotas of a host that shares them with the others of its failure domain. */
export function createSharedQuotas({
  activePreset,
  ...options
}: SharedOptions & Omit<TeamQuotasOptions, 'readTeams'>): TeamQuotas {
  return new TeamQuotas({ ...options, readTeams: () => activePreset.state?.preset.teams });
}

/** Creates the quotas of a host in a fleet with a list of hosts: each has an equal part. */
export function createListedQuotas({ activePreset, ...options }: SharedOptions): TeamQuotas {
  return createSharedQuotas({
    ...options,
    activePreset,
    settings: defaultQuotas,
    failureDomains: 1,
    countHosts: () => activePreset.state?.preset.fleet.entryHosts ?? Infinity,
    isFirstStart: false,
  });
}

/** Creates the gates that the requests of teams pass. */
export function createGates(quotas: TeamQuotas): readonly RequestGate[] {
  return [new QuotaGate({ quotas })];
}
