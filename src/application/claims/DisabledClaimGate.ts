import type ClaimGate from './ClaimGate.ts';
import type { ClaimOutcome } from './ClaimGate.ts';

/** The claims of a fleet whose control group keeps none. */
export default class DisabledClaimGate implements ClaimGate {
  async requestClaim(): Promise<ClaimOutcome> {
    const message = 'claim: this fleet keeps no claims: expected a route with key: none';
    return { kind: 'refused', failure: { kind: 'claims_unavailable', message } };
  }

  async waitIdle(): Promise<void> {
    // Nothing was claimed.
  }
}
