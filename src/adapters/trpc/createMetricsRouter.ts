import type { HostMeasurements } from '../../ports/MetricsLink.ts';
import type { HostTeamCounts } from '../../ports/TeamCountsLink.ts';
import { procedure, router } from './trpcBase.ts';

/** Source of the measurements of this host. */
export interface MeasurementsSource {
  takeSnapshot(): HostMeasurements;
}

/** Source of the requests of this host by team. */
export interface TeamCountsSource {
  listCounts(): readonly HostTeamCounts[];
}

/** Creates the procedures that return the measurements of this host. */
export default function createMetricsRouter(source: MeasurementsSource, teams: TeamCountsSource) {
  return router({
    takeSnapshot: procedure.mutation(() => source.takeSnapshot()),
    takeTeamCounts: procedure.mutation(() => teams.listCounts()),
  });
}
