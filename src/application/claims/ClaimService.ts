import type { ClaimDecision } from '../../domain/claims/Claim.ts';
import type ControlCommand from '../../domain/control/ControlCommand.ts';
import type { ControlReply } from '../../domain/control/ControlCommand.ts';
import type Result from '../../domain/errors/Result.ts';
import type ClaimLink from '../../ports/ClaimLink.ts';
import type { ClaimBatch } from '../../ports/ClaimLink.ts';
import type CommandLog from '../replication/CommandLog.ts';

/** Options of the service. */
export interface ClaimServiceOptions {
  readonly log: CommandLog<ControlCommand, ControlReply>;
  /** Links to the other control hosts. */
  readonly links: readonly ClaimLink[];
}

/** Decides the claim batches of entry hosts through the replicated log. */
export default class ClaimService {
  private readonly options: ClaimServiceOptions;

  constructor(options: ClaimServiceOptions) {
    this.options = options;
  }

  /**
   * Commits a batch as one command and returns a decision for each change. A host that is not the
   * leader forwards the batch to the leader once, when the batch allows it. Never rejects.
   */
  async decideBatch(batch: ClaimBatch): Promise<Result<readonly ClaimDecision[]>> {
    const { log, links } = this.options;
    if (batch.changes.length === 0) return { ok: true, value: [] };
    const command = { kind: 'change_claims', changes: batch.changes } as const;
    const committed = await log.proposeCommand(command, batch.deadline);
    if (committed.ok) return this.readDecisions(committed.value);
    const { failure } = committed;
    if (failure.kind !== 'not_leader' || !batch.mayForward) return committed;
    const leader = links.find(({ host }) => host === failure.leader);
    return leader ? leader.sendBatch({ ...batch, mayForward: false }) : committed;
  }

  private readDecisions(reply: ControlReply): Result<readonly ClaimDecision[]> {
    if (reply.kind === 'claims') return { ok: true, value: reply.decisions };
    const message = `claims.decideBatch: the reply is of kind ${reply.kind}; expected claims`;
    return { ok: false, failure: { kind: 'internal', message } };
  }
}
