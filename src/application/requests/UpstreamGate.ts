import type AnswerStatements from '../../domain/statements/AnswerStatements.ts';
import type UpstreamIncarnation from '../../domain/statements/UpstreamIncarnation.ts';
import type { UpstreamAccess } from '../../domain/statements/UpstreamStatements.ts';

/** Keeps requests from upstreams that state in their answers that they take none. */
export default interface UpstreamGate {
  /** Decides whether a request may be sent to the upstream now. */
  decideAccess(upstream: UpstreamIncarnation): UpstreamAccess;
  /**
   * Whether a request for which the upstream was chosen may still be sent to it; it was counted
   * under the limit of the upstream when it was chosen.
   */
  maySend(upstream: UpstreamIncarnation): boolean;
  /** Instant from which a request may be sent to the upstream; `Infinity` if it is leaving. */
  getFreeAt(upstream: UpstreamIncarnation): number;
  /** Records what an upstream stated in an answer to a request that was sent at `sentAt`. */
  reportStatements(
    upstream: UpstreamIncarnation,
    statements: AnswerStatements,
    sentAt: number,
  ): void;
}
