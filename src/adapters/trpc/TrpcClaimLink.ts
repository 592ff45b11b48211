import type { ClaimDecision } from '../../domain/claims/Claim.ts';
import type Result from '../../domain/errors/Result.ts';
import type ClaimLink from '../../ports/ClaimLink.ts';
import type { ClaimBatch } from '../../ports/ClaimLink.ts';
import { claimDecisionsSchema } from './claimMessages.ts';
import type TrpcPeerConnection from './TrpcPeerConnection.ts';

/** Sends claim changes over the connection to a control host. */
export default class TrpcClaimLink implements ClaimLink {
  readonly host: string;

  private readonly connection: TrpcPeerConnection;

  constructor(options: { readonly host: string; readonly connection: TrpcPeerConnection }) {
    this.host = options.host;
    this.connection = options.connection;
  }

  async sendBatch(batch: ClaimBatch): Promise<Result<readonly ClaimDecision[]>> {
    const answer = await this.connection.requestResult({
      path: 'claims.decideBatch',
      input: batch,
      output: claimDecisionsSchema,
      deadline: batch.deadline,
    });
    if (!answer.ok) return answer;
    const decisions = answer.value;
    if (decisions.length === batch.changes.length) return answer;
    const message = `claims.decideBatch at ${this.host}: ${decisions.length} decisions; expected ${batch.changes.length}`;
    return { ok: false, failure: { kind: 'message_invalid', message } };
  }
}
