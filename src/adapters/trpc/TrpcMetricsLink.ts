import type Result from '../../domain/errors/Result.ts';
import type MetricsLink from '../../ports/MetricsLink.ts';
import type { RemoteSnapshot } from '../../ports/MetricsLink.ts';
import type TrpcPeerConnection from './TrpcPeerConnection.ts';
import { snapshotSchema } from './metricsMessages.ts';

/** Asks a peer for its measurements. */
export default class TrpcMetricsLink implements MetricsLink {
  private readonly connection: TrpcPeerConnection;

  constructor(connection: TrpcPeerConnection) {
    this.connection = connection;
  }

  requestSnapshot(deadline: number): Promise<Result<RemoteSnapshot>> {
    const path = 'metrics.takeSnapshot';
    return this.connection.requestPeer({ path, input: {}, output: snapshotSchema, deadline });
  }
}
