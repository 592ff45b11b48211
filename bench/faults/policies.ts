import SuspicionTracker from '../../src/domain/detection/SuspicionTracker.ts';
import computeCosts from '../../src/domain/requests/computeCosts.ts';
import LowestCostBalancer from '../../src/domain/requests/LowestCostBalancer.ts';
import RandomBalancer from '../../src/domain/requests/RandomBalancer.ts';
import TwoChoicesBalancer from '../../src/domain/requests/TwoChoicesBalancer.ts';
import type { HostPolicy, FaultPattern } from '../faults/FaultSimulation.ts';
import ForgetfulBalancer from './ForgetfulBalancer.ts';
import OwnDomainBalancer from './OwnDomainBalancer.ts';

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

/** Names of the policies. */
export type PolicyName = 'lowestCost' | 'own domain' | 'no reuse' | 'two choices' | 'random';

/** The policy of entry hosts (`lowestCost`) and the policies that it is compared with. */
const policies: Readonly<Record<PolicyName, CreatePolicy>> = {
  lowestCost: createLowestCost,
  'own domain': (pattern, readNow) => {
    const { balancer, suspicions } = createLowestCost(pattern, readNow);
    return { suspicions, balancer: new OwnDomainBalancer(balancer) };
  },
  'no reuse': (pattern, readNow) => {
    const { balancer, suspicions } = createLowestCost(pattern, readNow);
    return { suspicions, balancer: new ForgetfulBalancer(balancer) };
  },
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
