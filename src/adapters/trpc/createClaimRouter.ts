import type ClaimService from '../../application/claims/ClaimService.ts';
import type { ClaimDecision } from '../../domain/claims/Claim.ts';
import type Result from '../../domain/errors/Result.ts';
import { claimBatchSchema } from './claimMessages.ts';
import parseInput from './parseInput.ts';
import { procedure, router } from './trpcBase.ts';

/** Creates the `claims` procedures of a control host; expected errors are returned as data. */
export default function createClaimRouter(service: ClaimService) {
  return router({
    decideBatch: procedure
      .input((input: unknown) => input)
      .mutation(async ({ input }): Promise<Result<readonly ClaimDecision[]>> => {
        const batch = parseInput('claims.decideBatch', claimBatchSchema, input);
        return batch.ok ? service.decideBatch(batch.value) : batch;
      }),
  });
}
