import type { BalancerCosts } from './LowestCostBalancer.ts';

// A failed request is lost unless it may be retried; a retry costs some time and a part of the
// budget. A retry that is taken while few remain is not available when the next request fails. With
// a power of 2, bench/faults had more late requests than lost ones.
const lostRequestCost = 4;
const retryCost = 0.6;
const scarcityPower = 4;
// An upstream that fails at least this share of its requests likely loses the next one.
const likelyFailureRisk = 0.8;
// Assumed size of the headers of a request and its answer together, in bytes.
const headerBytes = 700;
const bytesPerKib = 1024;
/** Assumed size of an answer before the first one is known, in bytes. */
export const defaultAnswerBytes = 2000;

/** Inputs of the costs of one choice. */
export interface CostInputs {
  /** Cost of one KiB of traffic with another failure domain. */
  readonly otherDomainPrice: number;
  readonly answerBytes: number;
  /** Scarcity of retries, from 0 while all are available to 1 when none is allowed. */
  readonly retryScarcity: number;
}

/**
 * Computes the costs of a choice, in units of about a quarter of the value of a request. A short
 * queue costs little, because answers still arrive in time; in a long queue the request is likely
 * to be shed.
 */
export default function computeCosts(inputs: CostInputs): BalancerCosts {
  const { otherDomainPrice, answerBytes, retryScarcity } = inputs;
  const otherDomain = (otherDomainPrice * (headerBytes + answerBytes)) / bytesPerKib;
  return {
    busySlots: 0.3,
    wait: 0.6,
    longWait: 1.2,
    cold: 0.5,
    limited: 0.5,
    noise: 0.1,
    newConnection: 0.1,
    otherDomain,
    // A request that its own domain likely loses is served by another one where retries are scarce.
    otherDomainAtLoss: Math.min(otherDomain, lostRequestCost * likelyFailureRisk),
    likelyFailureRisk,
    failure: retryCost + (lostRequestCost - retryCost) * retryScarcity ** scarcityPower,
  };
}
