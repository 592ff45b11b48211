import type Result from '../../domain/errors/Result.ts';
import type GossipLink from '../../ports/GossipLink.ts';
import type { GossipMessage } from '../../ports/GossipLink.ts';
import { createResultSchema } from './failureSchema.ts';
import { gossipMessageSchema } from './gossipMessages.ts';
import type { SharedPeerConnection } from './TrpcPeerDialer.ts';

const exchangeAnswerSchema = createResultSchema(gossipMessageSchema);

/** Exchanges gossip over the connection to a peer. */
export default class TrpcGossipLink implements GossipLink {
  private readonly shared: SharedPeerConnection;

  constructor(shared: SharedPeerConnection) {
    this.shared = shared;
  }

  exchangeRecords(message: GossipMessage, deadline: number): Promise<Result<GossipMessage>> {
    return this.shared.connection.requestResult({
      path: 'gossip.exchange',
      input: message,
      output: exchangeAnswerSchema,
      deadline,
    });
  }

  close(): void {
    this.shared.release();
  }
}
