import SuspicionBook from '../../src/domain/detection/SuspicionBook.ts';
import computePrices from '../../src/domain/requests/computePrices.ts';
import PricedBalancer from '../../src/domain/requests/PricedBalancer.ts';
import RandomBalancer from '../../src/domain/requests/RandomBalancer.ts';
import TwoChoicesBalancer from '../../src/domain/requests/TwoChoicesBalancer.ts';
import type { HostPolicy, SpellPattern } from './SpellModel.ts';

// As in the settings of the fleets that the product runs for.
const holdMs = 9000;
const otherDomainPrice = 0.25;
const loadHalfLifeMs = 800;

/** Builds the policy of one host; `readNow` tells the time of the model. */
export type CreatePolicy = (pattern: SpellPattern, readNow: () => number) => HostPolicy;

function createPriced(pattern: SpellPattern, readNow: () => number): HostPolicy {
  const suspicions = new SuspicionBook({ holdMs });
  const balancer = new PricedBalancer({
    readPrices: (_service, retryScarcity) =>
      computePrices({ otherDomainPrice, answerBytes: pattern.answerBytes, retryScarcity }),
    readRisk: ({ record }) => suspicions.getRisk(record.upstream, record.incarnation, readNow()),
    loadHalfLifeMs,
  });
  return { balancer, suspicions };
}

/** The product's way to choose upstreams and what it is compared with. */
const policies: Readonly<Record<'prices' | 'two choices' | 'random', CreatePolicy>> = {
  prices: createPriced,
  'two choices': () => ({
    balancer: new TwoChoicesBalancer(),
    suspicions: new SuspicionBook({ holdMs }),
  }),
  random: () => ({ balancer: new RandomBalancer(), suspicions: new SuspicionBook({ holdMs }) }),
};

export default policies;
