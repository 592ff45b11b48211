import SuspicionTracker from '../../src/domain/detection/SuspicionTracker.ts';
import computeCosts from '../../src/domain/requests/computeCosts.ts';
import LowestCostBalancer from '../../src/domain/requests/LowestCostBalancer.ts';
import RandomBalancer from '../../src/domain/requests/RandomBalancer.ts';
import TwoChoicesBalancer from '../../src/domain/requests/TwoChoicesBalancer.ts';
import type { HostPolicy, FaultPattern } from '../faults/FaultSimulation.ts';

// The values in the settings of the production fleets.
const decayMs = 9000;
const otherDomainPrice = 0.25;
const loadHalfLifeMs = 800;

/** Builds the policy of one host; `readNow` returns the simulated time in milliseconds. */
export type CreatePolicy = (pattern: FaultPattern, readNow: () => number) => HostPolicy;

function createLowestCost(pattern: FaultPattern, readNow: () => number): HostPolicy {
  const suspicions = new SuspicionTracker({ decayMs });
  const balancer = new LowestCostBalancer({
    readCosts: (_service, retryScarcity) =>
      computeCosts({ otherDomainPrice, answerBytes: pattern.answerBytes, retryScarcity }),
    readRisk: ({ record }) => suspicions.getRisk(record.upstream, record.incarnation, readNow()),
    loadHalfLifeMs,
  });
  return { balancer, suspicions };
}

/** The policy of entry hosts (`lowestCost`) and the policies that it is compared with. */
const policies: Readonly<Record<'lowestCost' | 'two choices' | 'random', CreatePolicy>> = {
  lowestCost: createLowestCost,
  'two choices': () => ({
    balancer: new TwoChoicesBalancer(),
    suspicions: new SuspicionTracker({ decayMs }),
  }),
  random: () => ({
    balancer: new RandomBalancer(),
    suspicions: new SuspicionTracker({ decayMs }),
  }),
};

export default policies;
