import type Result from '../../domain/errors/Result.ts';
import type MetricsLink from '../../ports/MetricsLink.ts';
import type { HostMeasurements } from '../../ports/MetricsLink.ts';
import type TeamCountsLink from '../../ports/TeamCountsLink.ts';
import type { HostTeamCounts } from '../../ports/TeamCountsLink.ts';
import type { SharedPeerConnection } from './TrpcPeerDialer.ts';
import { hostTeamCountsSchema, snapshotSchema } from './metricsMessages.ts';

/** Requests the measurements of a peer. */
export default class TrpcMetricsLink implements MetricsLink, TeamCountsLink {
  private readonly shared: SharedPeerConnection;

  constructor(shared: SharedPeerConnection) {
    this.shared = shared;
  }

  requestMeasurements(deadline: number): Promise<Result<HostMeasurements>> {
    const path = 'metrics.takeSnapshot';
    return this.shared.connection.requestPeer({
      path,
      input: {},
      output: snapshotSchema,
      deadline,
    });
  }

  requestTeamCounts(deadline: number): Promise<Result<readonly HostTeamCounts[]>> {
    const path = 'metrics.takeTeamCounts';
    const output = hostTeamCountsSchema;
    return this.shared.connection.requestPeer({ path, input: {}, output, deadline });
  }

  close(): void {
    this.shared.release();
  }
}
