import type Result from '../../domain/errors/Result.ts';
import type MetricsLink from '../../ports/MetricsLink.ts';
import type { HostMeasurements } from '../../ports/MetricsLink.ts';
import type { SharedPeerConnection } from './TrpcPeerDialer.ts';
import { snapshotSchema } from './metricsMessages.ts';

/** Requests the measurements of a peer. */
export default class TrpcMetricsLink implements MetricsLink {
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

  close(): void {
    this.shared.release();
  }
}
