import type { HostMeasurements } from '../../ports/MetricsLink.ts';
import { procedure, router } from './trpcBase.ts';

/** Source of the measurements of this host. */
export interface MeasurementsSource {
  takeSnapshot(): HostMeasurements;
}

/** Creates the procedures that return the measurements of this host. */
export default function createMetricsRouter(source: MeasurementsSource) {
  return router({ takeSnapshot: procedure.mutation(() => source.takeSnapshot()) });
}
