import type { BalancerCosts } from './LowestCostBalancer.ts';

// A failed request is lost unless it may be repeated; then it costs a retry and some time. A retry
// that is taken while few are left is missing where the next request fails; with a power of 2 more
// requests were late than lost in bench/faults.
const lostCost = 4;
const repeatedCost = 0.6;
const scarcityPower = 4;
// Heads of request and answer, in bytes.
const headBytes = 700;
const bytesPerKib = 1024;
/** Size of an answer before the first one is known, in bytes. */
export const defaultAnswerBytes = 2000;

/** What the costs of one choice depend on. */
export interface CostInputs {
  /** What a KiB from another failure domain costs. */
  readonly otherDomainPrice: number;
  readonly answerBytes: number;
  /** From 0 while retries abound to 1 when none may follow. */
  readonly retryScarcity: number;
}

/**
 * The costs of a choice. The unit is about a quarter of what a request is worth. A short queue
 * costs little, since answers are still in time; a long one is likely to shed the request.
 */
export default function computeCosts(inputs: CostInputs): BalancerCosts {
  const { otherDomainPrice, answerBytes, retryScarcity } = inputs;
  return {
    busySlots: 0.3,
    wait: 0.6,
    longWait: 1.2,
    cold: 0.5,
    noise: 0.1,
    otherDomain: (otherDomainPrice * (headBytes + answerBytes)) / bytesPerKib,
    failure: repeatedCost + (lostCost - repeatedCost) * retryScarcity ** scarcityPower,
  };
}
