import type { HostMeasurements } from '../../ports/MetricsLink.ts';
import { procedure, router } from './trpcBase.ts';

/** What the router serves. */
export interface SnapshotSource {
  takeSnapshot(): HostMeasurements;
}

/** Procedures that hand out the measurements of this host. */
export default function createMetricsRouter(source: SnapshotSource) {
  return router({ takeSnapshot: procedure.mutation(() => source.takeSnapshot()) });
}
