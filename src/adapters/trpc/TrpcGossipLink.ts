import type Result from '../../domain/errors/Result.ts';
import type GossipLink from '../../ports/GossipLink.ts';
import type { GossipMessage } from '../../ports/GossipLink.ts';
import { createResultSchema } from './failureSchema.ts';
import { gossipMessageSchema } from './gossipMessages.ts';
import type { SharedPeerConnection } from './TrpcPeerDialer.ts';

const exchangeAnswerSchema = createResultSchema(gossipMessageSchema);

/** Gossip over the connection to a peer. */
export default class TrpcGossipLink implements GossipLink {
  private readonly shared: SharedPeerConnection;

  constructor(shared: SharedPeerConnection) {
    this.shared = shared;
  }

  async exchangeRecords(message: GossipMessage, deadline: number): Promise<Result<GossipMessage>> {
    const answer = await this.shared.connection.requestPeer({
      path: 'gossip.exchange',
      input: message,
      output: exchangeAnswerSchema,
      deadline,
    });
    return answer.ok ? answer.value : answer;
  }

  close(): void {
    this.shared.release();
  }
}
