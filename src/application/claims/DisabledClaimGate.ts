import type ClaimGate from './ClaimGate.ts';
import type { ClaimOutcome } from './ClaimGate.ts';

/** The claim gate of a fleet whose control group stores no claims; it refuses every claim. */
export default class DisabledClaimGate implements ClaimGate {
  async requestClaim(): Promise<ClaimOutcome> {
    const message = 'claim: this fleet stores no claims: expected a route with key: none';
    return { kind: 'refused', failure: { kind: 'claims_unavailable', message } };
  }

  async waitIdle(): Promise<void> {
    // No claim is ever granted, so there is nothing to wait for.
  }
}
